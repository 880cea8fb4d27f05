#include "http/client.h"

#include <curl/curl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/async_result.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cctype>
#include <cerrno>
#include <charconv>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include "http/address.h"
#include "http/response-head.h"

namespace limpetfall {
namespace {

namespace asio = boost::asio;

// A stream stops reading from its socket when this much data is buffered, so that a slow reader
// causes backpressure on the upstream instead of memory growth in this process.
constexpr std::size_t kStreamBufferBytes = 64 << 10;

// Must be below the shortest idle timeout of any upstream. Otherwise an upstream can close a pooled
// connection while a request is being sent on it, and the request ends with may-have-run.
constexpr std::chrono::seconds kMaxIdleAge{15};

enum class WakeReason { kUpdated, kDeadline, kCancelled };

using WakeHandler = asio::async_result<asio::use_awaitable_t<>, void(WakeReason)>::handler_type;

/** A coroutine that waits for a transfer. */
struct Waiter {
  WakeHandler handler;
  asio::any_io_executor work;  ///< Keeps the caller's io_context running.
};

class CurlLoop;

/** A request and the part of its response received so far. */
struct Transfer {
  Transfer(CurlLoop& curl_loop, asio::io_context& io, HttpRequest http_request,
           bool buffer_response, std::size_t max_bytes)
      : loop(curl_loop),
        request(std::move(http_request)),
        buffered(buffer_response),
        max_body_bytes(max_bytes),
        timer(io) {}

  CurlLoop& loop;
  const HttpRequest request;
  const bool buffered;  ///< Deliver the response when complete; otherwise incrementally.
  const std::size_t max_body_bytes;

  // Accessed on the client's thread only.
  CURL* easy = nullptr;
  curl_slist* header_list = nullptr;
  asio::steady_timer timer;
  curl_socket_t new_socket = CURL_SOCKET_BAD;  ///< Set if this transfer opened a connection.
  bool connection_unusable = false;  ///< The pooled connection was closed or had unread bytes.

  // Guarded by `mutex`.
  std::mutex mutex;
  bool connected = false;       ///< Set before the first byte of the request is sent.
  bool abandoned = false;       ///< Nothing more may be sent.
  bool resend_refused = false;  ///< libcurl tried to send the request a second time.
  bool too_large = false;
  bool paused = false;
  bool header_delivered = false;
  bool done = false;
  ResponseHeadReader head_reader;
  std::string body;
  std::optional<Error> failure;
  std::optional<Waiter> waiter;
  std::uint64_t wait_id = 0;
  Deadline wait_deadline;
  Deadline timer_expiry = Deadline::max();  ///< Expiry of the timer; max if it is not set.
};

using TransferPtr = std::shared_ptr<Transfer>;

/** Resumes the waiting coroutine, if any, on its executor. The mutex must be held. */
void ResumeWaiter(Transfer& transfer, WakeReason reason) {
  if (!transfer.waiter) return;
  Waiter waiter = std::move(*transfer.waiter);
  transfer.waiter.reset();
  asio::any_io_executor executor = waiter.work;
  asio::post(executor, [handler = std::move(waiter.handler), reason]() mutable {
    std::move(handler)(reason);
  });
}

/** Returns the verdict if the transfer is abandoned now. The mutex must be held. */
Verdict VerdictIfAbandoned(const Transfer& transfer) {
  return transfer.connected ? Verdict::kMayHaveRun : Verdict::kNotRun;
}

bool HasBody(const HttpRequest& request) {
  return !request.body.empty() || request.method == "POST" || request.method == "PUT" ||
         request.method == "PATCH";
}

/** Returns whether a complete response can be distinguished from a truncated one. */
bool HasExplicitLength(const Transfer& transfer) {
  if (transfer.request.method == "HEAD") return true;
  const auto& [status, headers] = transfer.head_reader.head();
  if (status == 204 || status == 304) return true;
  return headers.contains("Content-Length") || headers.contains("Transfer-Encoding");
}

bool HasNoControlCharacters(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return byte >= 0x20 && byte != 0x7f;
  });
}

bool IsAddress(const std::string& address) {
  const auto endpoint = ParseEndpoint(address);
  return endpoint && endpoint.value().port() != 0;
}

/** Rejects requests that cannot be sent exactly as given, or whose deadline has passed. */
Result<void> CheckRequest(const HttpRequest& request, Deadline deadline) {
  if (Clock::now() >= deadline) {
    return NotRun(ErrorCode::kDeadlineExceeded, "the deadline passed before the request was sent");
  }
  if (!IsToken(request.method)) {
    return NotRun(ErrorCode::kInvalidArgument, "the method is not a token");
  }
  if (!IsAddress(request.address)) {
    return NotRun(ErrorCode::kInvalidArgument,
                  "address \"" + request.address + "\" is not of the form IP:port");
  }
  if (!request.target.starts_with('/') || !HasNoControlCharacters(request.target) ||
      request.target.find(' ') != std::string::npos) {
    return NotRun(ErrorCode::kInvalidArgument, "the target is not an absolute path");
  }
  for (const auto& [name, value] : request.headers) {
    if (!IsToken(name) || !HasNoControlCharacters(value)) {
      return NotRun(ErrorCode::kInvalidArgument, "header \"" + name + "\" is malformed");
    }
  }
  return success();
}

Error MakeTransferError(const Transfer& transfer, CURLcode code) {
  const std::string prefix = "upstream " + transfer.request.address + ": ";
  const std::string reason = curl_easy_strerror(code);
  if (!transfer.connected) {
    return NotRun(ErrorCode::kUnavailable, prefix + "connecting failed: " + reason);
  }
  if (transfer.too_large) {
    return MayHaveRun(
        ErrorCode::kUpstreamProtocol,
        prefix + "the response exceeds " + std::to_string(transfer.max_body_bytes) + " bytes");
  }
  if (transfer.resend_refused) {
    return MayHaveRun(ErrorCode::kUpstreamLost,
                      prefix + "the pooled connection was closed before a response arrived");
  }
  switch (code) {
    case CURLE_PARTIAL_FILE:
    case CURLE_RECV_ERROR:
    case CURLE_SEND_ERROR:
    case CURLE_GOT_NOTHING:
      return MayHaveRun(ErrorCode::kUpstreamLost, prefix + "the connection was lost: " + reason);
    default:
      return MayHaveRun(ErrorCode::kUpstreamProtocol,
                        prefix + "the response is malformed: " + reason);
  }
}

/** Runs libcurl's multi interface on a dedicated thread. */
class CurlLoop {
 public:
  static Result<std::shared_ptr<CurlLoop>> Create(const HttpClientOptions& options) {
    static const CURLcode global = curl_global_init(CURL_GLOBAL_ALL);
    if (global != CURLE_OK) return NotRun(ErrorCode::kInternal, "libcurl cannot be initialised");
    std::shared_ptr<CurlLoop> loop(new CurlLoop(options));
    if (loop->multi == nullptr)
      return NotRun(ErrorCode::kInternal, "libcurl cannot create a multi handle");
    return loop;
  }

  ~CurlLoop() {
    asio::post(this->io, [this] { this->Close(); });
    this->work.reset();
    this->thread.join();
  }

  CurlLoop(const CurlLoop&) = delete;
  CurlLoop& operator=(const CurlLoop&) = delete;

  [[nodiscard]] asio::io_context& context() { return this->io; }

  void Start(const TransferPtr& transfer) {
    asio::post(this->io, [this, transfer] { this->Add(transfer); });
  }

  /** Ends the transfer. Nothing is sent for it after this call has returned. */
  Verdict Abandon(const TransferPtr& transfer) {
    const std::lock_guard lock(transfer->mutex);
    return this->AbandonLocked(transfer);
  }

  /** Continues reading a stream that was paused because its buffer was full. */
  void Resume(const TransferPtr& transfer) {
    asio::post(this->io, [this, transfer] {
      if (transfer->easy == nullptr) return;
      curl_easy_pause(transfer->easy, CURLPAUSE_CONT);
      this->HandleSocketEvents(CURL_SOCKET_TIMEOUT, 0);
    });
  }

  /** Registers a waiting coroutine; an update, the deadline or cancellation resumes it. */
  void Await(const TransferPtr& transfer, Deadline deadline, WakeHandler handler) {
    auto slot = asio::get_associated_cancellation_slot(handler);
    const std::lock_guard lock(transfer->mutex);
    const std::uint64_t id = ++transfer->wait_id;
    if (slot.is_connected()) {
      slot.assign([this, weak = std::weak_ptr(transfer), id](asio::cancellation_type) {
        if (const auto target = weak.lock()) this->CancelWait(target, id);
      });
    }
    const asio::any_io_executor executor = asio::get_associated_executor(handler);
    transfer->waiter.emplace(Waiter{
        std::move(handler), asio::prefer(executor, asio::execution::outstanding_work.tracked)});
    transfer->wait_deadline = deadline;
    if (HasUpdate(*transfer)) return ResumeWaiter(*transfer, WakeReason::kUpdated);
    if (deadline >= transfer->timer_expiry) return;
    transfer->timer_expiry = deadline;
    asio::post(this->io, [this, transfer, deadline] { this->ArmTimer(transfer, deadline); });
  }

 private:
  /** The readiness events that libcurl requested for a socket. */
  struct SocketWatch {
    explicit SocketWatch(asio::io_context& io) : descriptor(io) {}

    asio::posix::stream_descriptor descriptor;
    int poll_events = 0;
    bool removed = false;
    bool reading = false;
    bool writing = false;
  };

  explicit CurlLoop(const HttpClientOptions& options)
      : connect_timeout(options.connect_timeout),
        io(1),
        work(asio::make_work_guard(this->io)),
        multi_timer(this->io),
        multi(curl_multi_init()) {
    if (this->multi != nullptr) {
      curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, &CurlLoop::OnSocket);
      curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
      curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, &CurlLoop::OnTimer);
      curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
      curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS,
                        static_cast<long>(options.max_idle_connections));
    }
    this->thread = std::thread([this] { this->io.run(); });
  }

  static bool HasUpdate(const Transfer& transfer) {
    if (transfer.done || transfer.buffered) return transfer.done;
    return !transfer.body.empty() ||
           (transfer.head_reader.is_complete() && !transfer.header_delivered);
  }

  Verdict AbandonLocked(const TransferPtr& transfer) {
    if (transfer->done || transfer->abandoned) return VerdictIfAbandoned(*transfer);
    transfer->abandoned = true;
    asio::post(this->io, [this, transfer] { this->Remove(transfer); });
    return VerdictIfAbandoned(*transfer);
  }

  void CancelWait(const TransferPtr& transfer, std::uint64_t id) {
    const std::lock_guard lock(transfer->mutex);
    if (transfer->wait_id != id || !transfer->waiter) return;
    this->AbandonLocked(transfer);
    ResumeWaiter(*transfer, WakeReason::kCancelled);
  }

  // All functions below run on the client's thread.

  void ArmTimer(const TransferPtr& transfer, Deadline expiry) {
    if (transfer->timer.expiry() == expiry) return;
    transfer->timer.expires_at(expiry);
    transfer->timer.async_wait(
        [this, weak = std::weak_ptr(transfer)](boost::system::error_code error) {
          if (error) return;
          if (const auto target = weak.lock()) this->OnDeadline(target);
        });
  }

  void OnDeadline(const TransferPtr& transfer) {
    Deadline next;
    {
      const std::lock_guard lock(transfer->mutex);
      transfer->timer_expiry = Deadline::max();
      if (!transfer->waiter) return;
      if (Clock::now() >= transfer->wait_deadline) {
        // Other pooled connections to this address may be unresponsive as well.
        if (transfer->connected)
          this->unresponsive_until[transfer->request.address] = Clock::now() + kMaxIdleAge;
        this->AbandonLocked(transfer);
        return ResumeWaiter(*transfer, WakeReason::kDeadline);
      }
      next = transfer->wait_deadline;
      transfer->timer_expiry = next;
    }
    this->ArmTimer(transfer, next);
  }

  void Add(const TransferPtr& transfer) {
    {
      const std::lock_guard lock(transfer->mutex);
      if (transfer->abandoned) return;
    }
    // libcurl 7.88 follows a pointer to a header of the last response when a handle is used again.
    transfer->easy = curl_easy_init();
    if (transfer->easy == nullptr) return this->Finish(transfer, CURLE_OUT_OF_MEMORY);
    this->active_transfers.emplace(transfer->easy, transfer);
    this->ConfigureTransfer(*transfer);
    if (std::exchange(transfer->connection_unusable, false)) {
      curl_easy_setopt(transfer->easy, CURLOPT_FRESH_CONNECT, 1L);
    }
    if (curl_multi_add_handle(this->multi, transfer->easy) != CURLM_OK) {
      this->Finish(transfer, CURLE_FAILED_INIT);
    }
  }

  void ConfigureTransfer(Transfer& transfer) {
    CURL* easy = transfer.easy;
    const HttpRequest& request = transfer.request;
    const std::string url = "http://" + request.address + "/";
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, request.target.c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(std::max<std::int64_t>(1, this->connect_timeout.count())));
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, static_cast<long>(kMaxIdleAge.count()));
    const bool fresh = request.new_connection || this->IsUnresponsive(request.address);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, fresh ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &CurlLoop::OnBeforeRequest);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &CurlLoop::OnOpenSocket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &CurlLoop::OnCloseSocket);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &CurlLoop::OnHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &CurlLoop::OnBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
    ConfigureBody(transfer);
    ConfigureHeaders(transfer);
  }

  static void ConfigureBody(Transfer& transfer) {
    const HttpRequest& request = transfer.request;
    if (request.method == "HEAD") {
      curl_easy_setopt(transfer.easy, CURLOPT_NOBODY, 1L);
      return;
    }
    if (HasBody(request)) {
      curl_easy_setopt(transfer.easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(request.body.size()));
      curl_easy_setopt(transfer.easy, CURLOPT_POSTFIELDS, request.body.c_str());
    }
    curl_easy_setopt(transfer.easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  }

  static void ConfigureHeaders(Transfer& transfer) {
    const Headers& headers = transfer.request.headers;
    curl_slist* list = nullptr;
    for (const auto& [name, value] : headers) {
      // libcurl omits a header given as "name:" and sends an empty one for "name;".
      std::string line = name;
      line.append(value.empty() ? ";" : ": ").append(value);
      list = curl_slist_append(list, line.c_str());
    }
    // Otherwise libcurl adds a form content type and waits for "100 Continue".
    if (!headers.contains("Content-Type")) list = curl_slist_append(list, "Content-Type:");
    if (!headers.contains("Expect")) list = curl_slist_append(list, "Expect:");
    transfer.header_list = list;
    curl_easy_setopt(transfer.easy, CURLOPT_HTTPHEADER, list);
  }

  bool IsUnresponsive(const std::string& address) {
    const auto found = this->unresponsive_until.find(address);
    if (found == this->unresponsive_until.end()) return false;
    if (Clock::now() < found->second) return true;
    this->unresponsive_until.erase(found);
    return false;
  }

  void Remove(const TransferPtr& transfer) {
    transfer->timer.cancel();
    if (transfer->easy == nullptr) return;
    CURL* easy = std::exchange(transfer->easy, nullptr);
    // Removing an unfinished transfer closes its connection.
    curl_multi_remove_handle(this->multi, easy);
    this->active_transfers.erase(easy);
    curl_easy_cleanup(easy);
    curl_slist_free_all(std::exchange(transfer->header_list, nullptr));
  }

  void Finish(const TransferPtr& transfer, CURLcode code) {
    this->Remove(transfer);
    // No byte of the request was sent, so it can be sent on a new connection.
    if (transfer->connection_unusable) return this->Add(transfer);
    const std::lock_guard lock(transfer->mutex);
    if (code != CURLE_OK) {
      if (!transfer->failure) transfer->failure = MakeTransferError(*transfer, code);
    } else if (!transfer->head_reader.is_complete()) {
      transfer->failure =
          MayHaveRun(ErrorCode::kUpstreamLost,
                     "upstream " + transfer->request.address +
                         ": the connection was closed within the head of the response");
    } else if (!HasExplicitLength(*transfer)) {
      transfer->failure = MayHaveRun(ErrorCode::kUpstreamProtocol,
                                     "upstream " + transfer->request.address +
                                         ": the response has no explicit length, so it cannot be "
                                         "distinguished from a truncated one");
    }
    transfer->done = true;
    ResumeWaiter(*transfer, WakeReason::kUpdated);
  }

  void HandleSocketEvents(curl_socket_t socket, int events) {
    int running = 0;
    curl_multi_socket_action(this->multi, socket, events, &running);
    int messages_left = 0;
    while (CURLMsg* message = curl_multi_info_read(this->multi, &messages_left)) {
      if (message->msg != CURLMSG_DONE) continue;
      const CURLcode code = message->data.result;
      const auto found = this->active_transfers.find(message->easy_handle);
      if (found == this->active_transfers.end()) continue;
      const TransferPtr transfer = found->second;
      this->Finish(transfer, code);
    }
  }

  void Close() {
    const auto transfers = std::exchange(this->active_transfers, {});
    for (const auto& [easy, transfer] : transfers) this->Remove(transfer);
    curl_multi_cleanup(this->multi);
    this->multi = nullptr;
    this->multi_timer.cancel();
    for (auto& [socket, watch] : this->sockets) ReleaseDescriptor(*watch);
    this->sockets.clear();
    this->io.stop();
  }

  static void ReleaseDescriptor(SocketWatch& watch) {
    watch.removed = true;
    if (watch.descriptor.is_open()) watch.descriptor.release();
  }

  void WaitForReadiness(const std::shared_ptr<SocketWatch>& watch, curl_socket_t socket) {
    if ((watch->poll_events & CURL_POLL_IN) != 0 && !watch->reading) {
      watch->reading = true;
      watch->descriptor.async_wait(asio::posix::stream_descriptor::wait_read,
                                   [this, watch, socket](boost::system::error_code error) {
                                     watch->reading = false;
                                     this->OnReady(watch, socket, error, CURL_POLL_IN,
                                                   CURL_CSELECT_IN);
                                   });
    }
    if ((watch->poll_events & CURL_POLL_OUT) != 0 && !watch->writing) {
      watch->writing = true;
      watch->descriptor.async_wait(asio::posix::stream_descriptor::wait_write,
                                   [this, watch, socket](boost::system::error_code error) {
                                     watch->writing = false;
                                     this->OnReady(watch, socket, error, CURL_POLL_OUT,
                                                   CURL_CSELECT_OUT);
                                   });
    }
  }

  void OnReady(const std::shared_ptr<SocketWatch>& watch, curl_socket_t socket,
               boost::system::error_code error, int poll_events, int event) {
    if (watch->removed || this->multi == nullptr) return;
    if (error == asio::error::operation_aborted) return;
    if ((watch->poll_events & poll_events) != 0)
      this->HandleSocketEvents(socket, error ? CURL_CSELECT_ERR : event);
    if (!watch->removed) this->WaitForReadiness(watch, socket);
  }

  static int OnSocket(CURL*, curl_socket_t socket, int what, void* data, void*) {
    auto* self = static_cast<CurlLoop*>(data);
    auto found = self->sockets.find(socket);
    if (what == CURL_POLL_REMOVE) {
      if (found == self->sockets.end()) return 0;
      ReleaseDescriptor(*found->second);
      self->sockets.erase(found);
      return 0;
    }
    if (found == self->sockets.end()) {
      auto watch = std::make_shared<SocketWatch>(self->io);
      boost::system::error_code error;
      watch->descriptor.assign(socket, error);
      if (error) return -1;
      found = self->sockets.emplace(socket, std::move(watch)).first;
    }
    found->second->poll_events = what;
    self->WaitForReadiness(found->second, socket);
    return 0;
  }

  static int OnTimer(CURLM*, long timeout_ms, void* data) {
    auto* self = static_cast<CurlLoop*>(data);
    if (timeout_ms < 0) {
      self->multi_timer.cancel();
      return 0;
    }
    self->multi_timer.expires_after(Milliseconds(timeout_ms));
    self->multi_timer.async_wait([self](boost::system::error_code error) {
      if (error || self->multi == nullptr) return;
      self->HandleSocketEvents(CURL_SOCKET_TIMEOUT, 0);
    });
    return 0;
  }

  static curl_socket_t OnOpenSocket(void* data, curlsocktype, curl_sockaddr* target) {
    const int type = target->socktype | SOCK_CLOEXEC;
    const curl_socket_t new_socket = ::socket(target->family, type, target->protocol);
    static_cast<Transfer*>(data)->new_socket = new_socket;
    return new_socket;
  }

  static int OnCloseSocket(void* data, curl_socket_t socket) {
    auto* self = static_cast<CurlLoop*>(data);
    if (const auto found = self->open_connections.find(socket);
        found != self->open_connections.end()) {
      self->sockets_by_connection.erase(found->second);
      self->open_connections.erase(found);
    }
    return ::close(socket);
  }

  // libcurl calls this when a connection is ready, before it sends a request. It also does so
  // before it resends a request because a pooled connection was closed. libcurl has no option to
  // disable resending, so the second call aborts the transfer: the upstream may have read the first
  // bytes.
  static int OnBeforeRequest(void* data, char* peer_ip, char* own_ip, int peer_port, int own_port) {
    auto* transfer = static_cast<Transfer*>(data);
    std::string connection = own_ip;
    connection += ':' + std::to_string(own_port) + '>' + peer_ip + ':' + std::to_string(peer_port);
    const std::lock_guard lock(transfer->mutex);
    if (transfer->abandoned) return CURL_PREREQFUNC_ABORT;
    if (transfer->connected) {
      transfer->resend_refused = true;
      return CURL_PREREQFUNC_ABORT;
    }
    if (!transfer->loop.CanSendOn(*transfer, connection)) {
      transfer->connection_unusable = true;
      return CURL_PREREQFUNC_ABORT;
    }
    transfer->connected = true;
    return CURL_PREREQFUNC_OK;
  }

  /**
   * Returns whether a request can be sent on the connection. libcurl's own check of a pooled
   * connection detects that it was closed, but not that it has unread bytes. libcurl would parse
   * these as the response to this request.
   */
  bool CanSendOn(Transfer& transfer, const std::string& connection) {
    const curl_socket_t new_socket = std::exchange(transfer.new_socket, CURL_SOCKET_BAD);
    if (new_socket != CURL_SOCKET_BAD) {
      this->open_connections[new_socket] = connection;
      this->sockets_by_connection[connection] = new_socket;
      return true;
    }
    const auto found = this->sockets_by_connection.find(connection);
    if (found == this->sockets_by_connection.end()) return false;
    char byte = 0;
    const auto length = ::recv(found->second, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return length < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  static std::size_t OnHeader(char* bytes, std::size_t size, std::size_t count, void* data) {
    auto* transfer = static_cast<Transfer*>(data);
    const std::lock_guard lock(transfer->mutex);
    if (const auto added = transfer->head_reader.AddLine({bytes, size * count}); !added) {
      transfer->failure = added.error();
      transfer->failure->message.insert(0, "upstream " + transfer->request.address + ": ");
      return 0;
    }
    if (HasUpdate(*transfer)) ResumeWaiter(*transfer, WakeReason::kUpdated);
    return size * count;
  }

  static std::size_t OnBody(char* bytes, std::size_t size, std::size_t count, void* data) {
    auto* transfer = static_cast<Transfer*>(data);
    const std::size_t length = size * count;
    const std::lock_guard lock(transfer->mutex);
    if (transfer->buffered && transfer->body.size() + length > transfer->max_body_bytes) {
      transfer->too_large = true;
      return 0;
    }
    if (!transfer->buffered && transfer->body.size() >= kStreamBufferBytes) {
      transfer->paused = true;
      return CURL_WRITEFUNC_PAUSE;
    }
    transfer->body.append(bytes, length);
    if (!transfer->buffered) ResumeWaiter(*transfer, WakeReason::kUpdated);
    return length;
  }

  const Milliseconds connect_timeout;
  asio::io_context io;
  asio::executor_work_guard<asio::io_context::executor_type> work;
  asio::steady_timer multi_timer;
  CURLM* multi;
  std::unordered_map<CURL*, TransferPtr> active_transfers;
  std::unordered_map<curl_socket_t, std::shared_ptr<SocketWatch>> sockets;
  std::unordered_map<curl_socket_t, std::string> open_connections;  ///< "IP:port>IP:port".
  std::unordered_map<std::string, curl_socket_t> sockets_by_connection;
  /** By address. Pooled connections are bypassed until this time. */
  std::unordered_map<std::string, Deadline> unresponsive_until;
  std::thread thread;
};

using CurlLoopPtr = std::shared_ptr<CurlLoop>;

asio::awaitable<WakeReason> WaitForUpdate(CurlLoop& loop, TransferPtr transfer, Deadline deadline) {
  auto initiation = [&loop, transfer, deadline](WakeHandler handler) {
    loop.Await(transfer, deadline, std::move(handler));
  };
  const asio::use_awaitable_t<> token;
  const WakeReason reason =
      co_await asio::async_initiate<const asio::use_awaitable_t<>&, void(WakeReason)>(initiation,
                                                                                      token);
  co_return reason;
}

/** Starts a transfer and abandons it on destruction. */
class OwnedTransfer {
 public:
  OwnedTransfer(CurlLoopPtr curl_loop, TransferPtr started)
      : loop(std::move(curl_loop)), transfer(std::move(started)) {
    this->loop->Start(this->transfer);
  }
  OwnedTransfer(OwnedTransfer&&) = default;
  OwnedTransfer& operator=(OwnedTransfer&&) = delete;
  ~OwnedTransfer() {
    if (this->transfer) this->loop->Abandon(this->transfer);
  }

  [[nodiscard]] Transfer& operator*() const { return *this->transfer; }

  /** Waits for an update of the response; after an error the transfer is abandoned. */
  asio::awaitable<Result<void>> Wait(Deadline deadline) {
    const WakeReason reason = co_await WaitForUpdate(*this->loop, this->transfer, deadline);
    if (reason == WakeReason::kUpdated) co_return success();
    const Verdict verdict = this->loop->Abandon(this->transfer);
    const std::string prefix = "upstream " + this->transfer->request.address + ": ";
    if (reason == WakeReason::kCancelled) {
      co_return Error{ErrorCode::kCancelled, prefix + "the request was cancelled", verdict};
    }
    co_return Error{ErrorCode::kDeadlineExceeded, prefix + "no response before the deadline",
                    verdict};
  }

  void Resume() { this->loop->Resume(this->transfer); }

 private:
  CurlLoopPtr loop;
  TransferPtr transfer;
};

class CurlStream final : public HttpStream {
 public:
  CurlStream(OwnedTransfer owned, ResponseHead response_head)
      : transfer(std::move(owned)), head(std::move(response_head)) {}

  [[nodiscard]] int status() const override { return this->head.status; }
  [[nodiscard]] const Headers& headers() const override { return this->head.headers; }

  asio::awaitable<Result<std::optional<std::string>>> Read(Deadline deadline) override {
    while (!this->ended && !this->failure) {
      if (auto bytes = this->TakeBufferedBytes()) co_return std::move(bytes);
      if (this->ended || this->failure) break;
      const Result<void> waited = co_await this->transfer.Wait(deadline);
      if (!waited) this->failure = waited.error();
    }
    if (this->failure) co_return *this->failure;
    co_return std::optional<std::string>();
  }

 private:
  /** Returns buffered bytes. If there are none, updates `ended` and `failure`. */
  std::optional<std::string> TakeBufferedBytes() {
    Transfer& state = *this->transfer;
    const std::lock_guard lock(state.mutex);
    if (!state.body.empty()) {
      if (std::exchange(state.paused, false)) this->transfer.Resume();
      return std::exchange(state.body, {});
    }
    this->failure = state.failure;
    this->ended = state.done;
    return std::nullopt;
  }

  OwnedTransfer transfer;
  ResponseHead head;
  bool ended = false;
  std::optional<Error> failure;  ///< Returned by every further read.
};

class CurlClient final : public HttpClient {
 public:
  CurlClient(CurlLoopPtr curl_loop, HttpClientOptions client_options)
      : loop(std::move(curl_loop)), options(client_options) {}

  asio::awaitable<Result<HttpResponse>> Fetch(HttpRequest request, Deadline deadline) override {
    BOOST_OUTCOME_CO_TRY(CheckRequest(request, deadline));
    OwnedTransfer transfer = this->StartTransfer(std::move(request), true);
    BOOST_OUTCOME_CO_TRY(co_await transfer.Wait(deadline));
    Transfer& state = *transfer;
    const std::lock_guard lock(state.mutex);
    if (state.failure) co_return *state.failure;
    const auto& [status, headers] = state.head_reader.head();
    co_return HttpResponse{status, headers, std::move(state.body)};
  }

  asio::awaitable<Result<std::unique_ptr<HttpStream>>> Open(HttpRequest request,
                                                            Deadline deadline) override {
    BOOST_OUTCOME_CO_TRY(CheckRequest(request, deadline));
    OwnedTransfer transfer = this->StartTransfer(std::move(request), false);
    BOOST_OUTCOME_CO_TRY(co_await transfer.Wait(deadline));
    ResponseHead head;
    {
      Transfer& state = *transfer;
      const std::lock_guard lock(state.mutex);
      if (!state.head_reader.is_complete() && state.failure) co_return *state.failure;
      state.header_delivered = true;
      head = state.head_reader.head();
    }
    co_return std::make_unique<CurlStream>(std::move(transfer), std::move(head));
  }

 private:
  OwnedTransfer StartTransfer(HttpRequest request, bool buffered) {
    return OwnedTransfer(this->loop, std::make_shared<Transfer>(*this->loop, this->loop->context(),
                                                                std::move(request), buffered,
                                                                this->options.max_body_bytes));
  }

  CurlLoopPtr loop;
  HttpClientOptions options;
};

}  // namespace

Result<std::shared_ptr<HttpClient>> HttpClient::Create(HttpClientOptions options) {
  BOOST_OUTCOME_TRY(auto loop, CurlLoop::Create(options));
  return std::make_shared<CurlClient>(std::move(loop), options);
}

}  // namespace limpetfall
