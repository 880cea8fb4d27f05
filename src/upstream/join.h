#ifndef LIMPETFALL_UPSTREAM_JOIN_H_
#define LIMPETFALL_UPSTREAM_JOIN_H_

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <memory>
#include <utility>
#include <vector>

#include "limpetfall/time.h"

namespace limpetfall {

/**
 * Runs the tasks concurrently and returns when all have ended. The caller's executor must run one
 * handler at a time. Returns early if the caller is cancelled, so tasks must own their data.
 */
inline boost::asio::awaitable<void> JoinAll(std::vector<boost::asio::awaitable<void>> tasks) {
  struct State {
    std::size_t remaining;
    boost::asio::steady_timer done;
  };
  const auto executor = co_await boost::asio::this_coro::executor;
  auto state = std::make_shared<State>(
      State{tasks.size(), boost::asio::steady_timer(executor, TimePoint::max())});
  for (auto& task : tasks) {
    boost::asio::co_spawn(executor, std::move(task), [state](const std::exception_ptr&) {
      if (--state->remaining == 0) state->done.cancel();
    });
  }
  if (state->remaining == 0) co_return;
  co_await state->done.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

}  // namespace limpetfall

#endif  // LIMPETFALL_UPSTREAM_JOIN_H_
