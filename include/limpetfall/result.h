#ifndef LIMPETFALL_RESULT_H_
#define LIMPETFALL_RESULT_H_

#include <boost/outcome.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "limpetfall/verdict.h"

namespace limpetfall {

/** The category of an `Error`. */
enum class ErrorCode {
  kInvalidArgument,    ///< The input is malformed or breaks a rule.
  kNotFound,           ///< The named model, team, group, key or service does not exist.
  kConflict,           ///< A compare-and-swap failed, or a key was reused with another body.
  kPermissionDenied,   ///< The configuration does not allow this.
  kResourceExhausted,  ///< A queue, rate or in-flight limit is reached.
  kUnavailable,        ///< A peer cannot be reached or accepts no new work.
  kDeadlineExceeded,   ///< The deadline passed first.
  kCancelled,          ///< The caller disconnected or cancelled the request.
  kUpstreamProtocol,   ///< An upstream's response is invalid, mismatched or incomplete.
  kResponseTooLarge,   ///< An upstream sent more bytes than any valid response has.
  kUpstreamLost,       ///< The connection to the upstream failed during the request.
  kQuarantined,        ///< The request is blocked because upstreams crashed while running it.
  kInternal,           ///< A bug in this program.
};

/** Returns the wire form, for example `deadline_exceeded`. */
std::string_view ToString(ErrorCode code);

/** An error code, a human-readable message, and whether the request may have run. */
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string message;
  Verdict verdict = Verdict::kNotRun;

  friend bool operator==(const Error&, const Error&) = default;
};

/**
 * A value or an `Error`. Accessing the one that is absent throws.
 *
 *     Result<int> Parse(std::string_view text);
 *     BOOST_OUTCOME_TRY(auto port, Parse(text));
 */
template <typename T>
using Result = boost::outcome_v2::checked<T, Error>;

using boost::outcome_v2::success;

/** Returns an `Error` for a request that certainly did not run. */
inline Error NotRun(ErrorCode code, std::string message) {
  return Error{code, std::move(message), Verdict::kNotRun};
}

/** Returns an `Error` for a request whose outcome is unknown. */
inline Error MayHaveRun(ErrorCode code, std::string message) {
  return Error{code, std::move(message), Verdict::kMayHaveRun};
}

}  // namespace limpetfall

#endif  // LIMPETFALL_RESULT_H_
