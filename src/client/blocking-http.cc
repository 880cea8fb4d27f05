#include "client/blocking-http.h"

#include <curl/curl.h>

#include <algorithm>
#include <mutex>
#include <optional>
#include <utility>

#include "http/response-head.h"

namespace limpetfall {
namespace {

constexpr std::size_t kMaxBodyBytes = 8 << 20;

constexpr long kMaxIdleConnections = 5;

struct Transfer {
  const BlockingHttp::BodyCallback* on_body = nullptr;
  ResponseHeadReader head_reader;
  std::optional<Error> head_error;
  std::string body;
};

std::size_t OnBody(char* data, std::size_t, std::size_t size, void* user_data) {
  auto& transfer = *static_cast<Transfer*>(user_data);
  const std::string_view bytes(data, size);
  if (*transfer.on_body) {
    return (*transfer.on_body)(transfer.head_reader.head().status, bytes) ? size : 0;
  }
  if (transfer.body.size() + size > kMaxBodyBytes) return 0;
  transfer.body.append(bytes);
  return size;
}

std::size_t OnHeader(char* data, std::size_t, std::size_t size, void* user_data) {
  auto& transfer = *static_cast<Transfer*>(user_data);
  const auto added = transfer.head_reader.AddLine({data, size});
  if (added) return size;
  transfer.head_error = added.error();
  return 0;
}

struct HeaderList {
  curl_slist* list = nullptr;

  HeaderList() = default;
  HeaderList(const HeaderList&) = delete;
  HeaderList& operator=(const HeaderList&) = delete;
  ~HeaderList() { curl_slist_free_all(this->list); }
  void Add(const std::string& line) { this->list = curl_slist_append(this->list, line.c_str()); }
};

void SetRequest(CURL* handle, const HttpRequest& request, const HeaderList& headers) {
  std::string url = "http://";
  url.append(request.address).append(request.target);
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers.list);
  if (request.method == "HEAD") {
    curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
  } else if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
    curl_easy_setopt(handle, CURLOPT_POST, 1L);
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  } else {
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  }
}

void SetTimeoutsAndReuse(CURL* handle, const BlockingHttpOptions& options, Milliseconds timeout) {
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
  curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(std::min(timeout, options.connect_timeout).count()));
  if (options.idle_timeout.count() > 0) {
    const long seconds = std::max<long>(1, options.idle_timeout.count() / 1000);
    curl_easy_setopt(handle, CURLOPT_LOW_SPEED_LIMIT, 1L);
    curl_easy_setopt(handle, CURLOPT_LOW_SPEED_TIME, seconds);
  }
  if (options.new_connection) {
    // libcurl resends a request if a reused connection turns out to be closed.
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
  }
}

/** Returns whether libcurl ended a transfer because the response does not follow the protocol. */
bool IsMalformed(CURLcode code) {
  return code == CURLE_UNSUPPORTED_PROTOCOL || code == CURLE_WEIRD_SERVER_REPLY ||
         code == CURLE_BAD_CONTENT_ENCODING || code == CURLE_BAD_FUNCTION_ARGUMENT;
}

Error ToError(const Transfer& transfer, CURL* handle, CURLcode code, const std::string& address) {
  const std::string prefix = address + ": ";
  if (const auto& error = transfer.head_error)
    return {error->code, prefix + error->message, error->verdict};
  const std::string message = prefix + curl_easy_strerror(code);
  long bytes_sent = 0;
  curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &bytes_sent);
  if (bytes_sent == 0) return NotRun(ErrorCode::kUnavailable, message);
  if (IsMalformed(code)) return MayHaveRun(ErrorCode::kUpstreamProtocol, message);
  const bool timed_out = code == CURLE_OPERATION_TIMEDOUT;
  return MayHaveRun(timed_out ? ErrorCode::kDeadlineExceeded : ErrorCode::kUnavailable, message);
}

struct EasyCleanup {
  void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};
using EasyHandle = std::unique_ptr<CURL, EasyCleanup>;

class BlockingHttpImpl final : public BlockingHttp {
 public:
  explicit BlockingHttpImpl(CURLM* curl) : multi(curl) {
    curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  }
  ~BlockingHttpImpl() override { curl_multi_cleanup(this->multi); }
  BlockingHttpImpl(const BlockingHttpImpl&) = delete;
  BlockingHttpImpl& operator=(const BlockingHttpImpl&) = delete;

  Result<HttpResponse> Send(const HttpRequest& request, const BlockingHttpOptions& options,
                            Deadline deadline, const BodyCallback& on_body) override;

 private:
  /** Runs a transfer to its end. */
  CURLcode Perform(CURL* handle);

  CURLM* multi;  ///< Keeps idle connections from one transfer to the next.
};

CURLcode BlockingHttpImpl::Perform(CURL* handle) {
  constexpr int kMaxPollMs = 1000;
  CURLMcode error = curl_multi_add_handle(this->multi, handle);
  for (int running = 1; running > 0 && error == CURLM_OK;) {
    error = curl_multi_perform(this->multi, &running);
    if (running > 0 && error == CURLM_OK)
      error = curl_multi_poll(this->multi, nullptr, 0, kMaxPollMs, nullptr);
  }
  int messages_left = 0;
  const CURLMsg* message = curl_multi_info_read(this->multi, &messages_left);
  const CURLcode code = message == nullptr ? CURLE_FAILED_INIT : message->data.result;
  curl_multi_remove_handle(this->multi, handle);
  return code;
}

Result<HttpResponse> BlockingHttpImpl::Send(const HttpRequest& request,
                                            const BlockingHttpOptions& options, Deadline deadline,
                                            const BodyCallback& on_body) {
  const Milliseconds timeout = TimeLeft(deadline, Clock::now());
  if (timeout.count() == 0) return NotRun(ErrorCode::kDeadlineExceeded, "the deadline has passed");
  HeaderList headers;
  headers.Add("Expect:");  // Bodies are small. Waiting for "100 Continue" would cost a round trip.
  for (const auto& [name, value] : request.headers) {
    headers.Add(std::string(name).append(": ").append(value));
  }
  // libcurl 7.88 follows a pointer to a header of the last response when a handle is used again.
  const EasyHandle easy(curl_easy_init());
  CURL* const handle = easy.get();
  if (handle == nullptr) return NotRun(ErrorCode::kInternal, "cannot initialize libcurl");
  Transfer transfer;
  transfer.on_body = &on_body;
  SetRequest(handle, request, headers);
  SetTimeoutsAndReuse(handle, options, timeout);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, OnBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, OnHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, &transfer);
  const CURLcode code = this->Perform(handle);
  if (code != CURLE_OK) return ToError(transfer, handle, code, request.address);
  if (!transfer.head_reader.is_complete()) {
    return MayHaveRun(
        ErrorCode::kUpstreamLost,
        request.address + ": the connection was closed within the head of the response");
  }
  const auto& [status, fields] = transfer.head_reader.head();
  return HttpResponse{status, fields, std::move(transfer.body)};
}

}  // namespace

Result<std::unique_ptr<BlockingHttp>> BlockingHttp::Create() {
  static std::once_flag curl_initialized;
  std::call_once(curl_initialized, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
  CURLM* multi = curl_multi_init();
  if (multi == nullptr) return NotRun(ErrorCode::kInternal, "cannot initialize libcurl");
  return std::unique_ptr<BlockingHttp>(std::make_unique<BlockingHttpImpl>(multi));
}

}  // namespace limpetfall
