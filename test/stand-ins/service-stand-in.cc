#include <tclap/CmdLine.h>

#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "http/error-response.h"
#include "http/server.h"

namespace limpetfall {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

/** Faults of calls to the order book. Each count is the number of affected calls; -1 means all. */
struct Faults {
  std::int64_t delay_ms = 0;     ///< Between the effect and the answer.
  std::int64_t drop_before = 0;  ///< Connections closed before the effect.
  std::int64_t drop_after = 0;   ///< Connections closed after the effect.
  std::int64_t refuse = 0;       ///< Calls refused with 503 and `not-run`.
  std::int64_t silent = 0;       ///< Calls that take effect and are never answered.
  bool leaving = false;          ///< Reports the state leaving; calls are still served.
};

/** Returns whether the fault affects this call. Decrements the count unless it is -1. */
bool ConsumeFault(std::int64_t& count) {
  if (count == 0) return false;
  if (count > 0) --count;
  return true;
}

HttpResponse JsonResponse(int status, const json& body) {
  HttpResponse response;
  response.status = status;
  response.headers["Content-Type"] = "application/json";
  response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
  return response;
}

std::string GetHeader(const HttpRequest& request, const std::string& name) {
  const auto found = request.headers.find(name);
  return found == request.headers.end() ? "" : found->second;
}

asio::awaitable<void> SleepUntil(Deadline end) {
  asio::steady_timer timer(co_await asio::this_coro::executor, end);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

/**
 * An order book that runs every call and ignores `Idempotency-Key`, so that its journal shows
 * repeated calls.
 */
class OrderBook {
 public:
  asio::awaitable<void> Handle(HttpExchange& exchange) {
    const HttpRequest& request = exchange.request();
    const std::string call =
        request.method + " " + request.target.substr(0, request.target.find('?'));
    if (call == "POST /orders" || call == "POST /dispatches" || call == "GET /orders") {
      co_return co_await this->Serve(exchange, call);
    }
    HttpResponse response = this->HandleControlCall(request, call);
    [[maybe_unused]] const Result<void> sent = co_await exchange.Send(std::move(response));
  }

 private:
  enum class Outcome { kAnswer, kRefuse, kDrop, kNoReply };

  /** How to answer one call. Decided under the same lock as the effect of the call. */
  struct Decision {
    Outcome outcome = Outcome::kAnswer;
    Milliseconds delay{0};
    HttpResponse response;
  };

  asio::awaitable<void> Serve(HttpExchange& exchange, std::string call) {
    const std::shared_ptr<void> running(this, [](OrderBook* book) { --book->running; });
    ++this->running;
    Decision decision = this->Run(exchange.request(), call);
    if (decision.outcome == Outcome::kDrop) co_return exchange.Abort();
    if (decision.outcome == Outcome::kNoReply) {
      co_return co_await SleepUntil(Deadline::max());  // Ends when the peer closes the connection.
    }
    const std::string id = GetHeader(exchange.request(), "X-Request-Id");
    if (!id.empty()) decision.response.headers["X-Request-Id"] = id;
    if (decision.delay.count() > 0) co_await SleepUntil(Clock::now() + decision.delay);
    [[maybe_unused]] const Result<void> sent = co_await exchange.Send(std::move(decision.response));
  }

  Decision Run(const HttpRequest& request, const std::string& call) {
    const std::lock_guard lock(this->mutex);
    Decision decision;
    if (ConsumeFault(this->faults.refuse)) {
      decision.outcome = Outcome::kRefuse;
      const Error refusal = NotRun(ErrorCode::kUnavailable, "the order book refuses calls");
      decision.response = ErrorResponse(503, refusal, GetHeader(request, "X-Request-Id"));
      return decision;
    }
    if (ConsumeFault(this->faults.drop_before)) {
      decision.outcome = Outcome::kDrop;
      return decision;
    }
    decision.response = this->ApplyCall(request, call);
    decision.delay = Milliseconds(this->faults.delay_ms);
    if (ConsumeFault(this->faults.drop_after)) {
      decision.outcome = Outcome::kDrop;
    } else if (ConsumeFault(this->faults.silent)) {
      decision.outcome = Outcome::kNoReply;
    }
    return decision;
  }

  HttpResponse ApplyCall(const HttpRequest& request, const std::string& call) {
    this->journal.push_back({{"request_id", GetHeader(request, "X-Request-Id")},
                             {"idempotency_key", GetHeader(request, "Idempotency-Key")},
                             {"method", request.method},
                             {"path", request.target},
                             {"body", request.body},
                             {"leaving", this->faults.leaving}});
    if (call == "GET /orders") return JsonResponse(200, {{"orders", this->orders}});
    if (call == "POST /dispatches") {
      return JsonResponse(201, {{"dispatch", ++this->last_dispatch}});
    }
    this->orders.push_back({{"order", this->orders.size() + 1}, {"body", request.body}});
    return JsonResponse(201, {{"order", this->orders.size()}});
  }

  HttpResponse HandleControlCall(const HttpRequest& request, const std::string& call) {
    if (call == "POST /control") return this->Control(request.body);
    const std::lock_guard lock(this->mutex);
    if (call == "GET /journal") return JsonResponse(200, {{"journal", this->journal}});
    if (call == "GET /v1/report") {
      return JsonResponse(200, {{"state", this->faults.leaving ? "leaving" : "ready"},
                                {"running", this->running.load()},
                                {"queued", 0}});
    }
    return ErrorResponse(404, NotRun(ErrorCode::kNotFound, "no such call: " + call), "");
  }

  /** Sets the faults in the request and returns all faults. */
  HttpResponse Control(const std::string& text) {
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object()) return BadControl("the body is not a JSON object");
    const std::lock_guard lock(this->mutex);
    Faults changed = this->faults;
    const std::map<std::string, std::int64_t*> numbers = {{"delay_ms", &changed.delay_ms},
                                                          {"drop_before", &changed.drop_before},
                                                          {"drop_after", &changed.drop_after},
                                                          {"refuse", &changed.refuse},
                                                          {"silent", &changed.silent}};
    for (const auto& [name, value] : body.items()) {
      if (const auto found = numbers.find(name); found != numbers.end()) {
        if (!value.is_number_integer()) return BadControl(name + " is not an integer");
        *found->second = value.get<std::int64_t>();
      } else if (name == "leaving" && value.is_boolean()) {
        changed.leaving = value.get<bool>();
      } else {
        return BadControl("unknown or malformed field " + name);
      }
    }
    this->faults = changed;
    json answer = {{"leaving", changed.leaving}};
    for (const auto& [name, number] : numbers) answer[name] = *number;
    return JsonResponse(200, answer);
  }

  static HttpResponse BadControl(const std::string& message) {
    return ErrorResponse(400, NotRun(ErrorCode::kInvalidArgument, message), "");
  }

  std::atomic<int> running = 0;
  std::mutex mutex;
  Faults faults;
  json journal = json::array();
  json orders = json::array();
  int last_dispatch = 0;
};

int Serve(const std::string& address, int thread_count) {
  asio::io_context io;
  const auto book = std::make_shared<OrderBook>();
  const HttpHandler handler = [book](HttpExchange& exchange) { return book->Handle(exchange); };
  auto server = HttpServer::Create(io, address, handler, {});
  if (!server) {
    std::cerr << server.error().message << "\n";
    return 1;
  }
  std::cout << "listening " << server.value()->address() << std::endl;
  asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([&io](boost::system::error_code, int) { io.stop(); });
  std::vector<std::thread> threads;
  for (int i = 1; i < thread_count; ++i) threads.emplace_back([&io] { io.run(); });
  io.run();
  for (std::thread& thread : threads) thread.join();
  return 0;
}

}  // namespace
}  // namespace limpetfall

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Stand-in of a plain service: an order book with a journal");
  TCLAP::ValueArg<std::string> listen("", "listen", "address to listen on", false, "127.0.0.1:0",
                                      "IP:PORT", command);
  TCLAP::ValueArg<int> threads("", "threads", "number of serving threads", false, 2, "number",
                               command);
  command.parse(argc, argv);
  return limpetfall::Serve(listen.getValue(), threads.getValue());
}
