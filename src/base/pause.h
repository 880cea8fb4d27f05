#ifndef LIMPETFALL_BASE_PAUSE_H_
#define LIMPETFALL_BASE_PAUSE_H_

#include <boost/asio/awaitable.hpp>

#include "limpetfall/time.h"

namespace limpetfall::detail {

/** Waits until `time`, or until the coroutine is cancelled. */
boost::asio::awaitable<void> PauseUntil(TimePoint time);

}  // namespace limpetfall::detail

#endif  // LIMPETFALL_BASE_PAUSE_H_
