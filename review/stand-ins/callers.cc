#include "callers.h"

#include <utility>

namespace limpetfall::review {

namespace asio = boost::asio;

std::string Describe(const Answer& answer) {
  if (answer.status == 0) return "no answer (" + answer.error + ")";
  return std::to_string(answer.status) + ", " + std::to_string(answer.body.size()) + " bytes, " +
         (answer.complete ? "complete" : "incomplete (" + answer.error + ")");
}

asio::awaitable<Answer> CallOn(std::shared_ptr<HttpConnection> connection, HttpRequest request,
                               Deadline deadline) {
  Answer answer;
  const auto sent = co_await connection->Send(request, deadline);
  if (!sent) {
    answer.error = sent.error().message;
    co_return answer;
  }
  auto head = co_await connection->ReadHead(deadline);
  if (!head) {
    answer.error = head.error().message;
    co_return answer;
  }
  answer.status = head.value().status;
  answer.headers = std::move(head.value().headers);
  while (!answer.complete) {
    const auto done = co_await connection->ReadSome(answer.body, deadline);
    if (!done) {
      answer.error = done.error().message;
      co_return answer;
    }
    answer.complete = done.value();
  }
  co_return answer;
}

asio::awaitable<Answer> Call(asio::io_context& io, std::string address, HttpRequest request,
                             Deadline deadline) {
  auto connected = co_await HttpConnection::Connect(io, std::move(address), deadline);
  if (!connected) {
    Answer answer;
    answer.error = connected.error().message;
    co_return answer;
  }
  co_return co_await CallOn(connected.value(), std::move(request), deadline);
}

}  // namespace limpetfall::review
