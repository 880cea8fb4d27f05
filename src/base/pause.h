#ifndef LIMPETFALL_BASE_PAUSE_H_
#define LIMPETFALL_BASE_PAUSE_H_

#include <boost/asio/awaitable.hpp>

#include "limpetfall/time.h"

namespace limpetfall::detail {

/** Suspends the coroutine until `time` or until it is cancelled. */
boost::asio::awaitable<void> PauseUntil(TimePoint time);

}  // namespace limpetfall::detail

#endif  // LIMPETFALL_BASE_PAUSE_H_
