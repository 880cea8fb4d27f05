#ifndef LIMPETFALL_TEST_HARNESS_RUN_H_
#define LIMPETFALL_TEST_HARNESS_RUN_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <optional>
#include <utility>

namespace limpetfall::testing {

namespace detail {

// A spawned coroutine needs a default-constructible result type, which `Result` is not.
template <typename T>
boost::asio::awaitable<void> StoreInto(std::optional<T>& out, boost::asio::awaitable<T> coroutine) {
  out = co_await std::move(coroutine);
}

}  // namespace detail

/** Runs `io` until the coroutine ends. Returns its value or rethrows its exception. */
template <typename T>
T RunUntilDone(boost::asio::io_context& io, boost::asio::awaitable<T> coroutine) {
  std::optional<T> value;
  std::exception_ptr failure;
  bool done = false;
  boost::asio::co_spawn(io, detail::StoreInto(value, std::move(coroutine)),
                        [&](std::exception_ptr thrown) {
                          failure = std::move(thrown);
                          done = true;
                        });
  io.restart();
  while (!done && io.run_one() > 0) {
  }
  if (failure) std::rethrow_exception(failure);
  return std::move(value).value();
}

}  // namespace limpetfall::testing

#endif  // LIMPETFALL_TEST_HARNESS_RUN_H_
