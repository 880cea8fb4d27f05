#include "base/pause.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace limpetfall::detail {

boost::asio::awaitable<void> PauseUntil(TimePoint time) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, time);
  co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

}  // namespace limpetfall::detail
