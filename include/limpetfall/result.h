#ifndef LIMPETFALL_RESULT_H_
#define LIMPETFALL_RESULT_H_

#include <boost/outcome.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "limpetfall/verdict.h"

namespace limpetfall {

/** What kind of failure an `Error` describes. */
enum class ErrorCode {
  kInvalidArgument,    ///< The input is malformed or breaks a rule.
  kNotFound,           ///< The named model, team, group, key or service does not exist.
  kConflict,           ///< A compare-and-swap lost, or a key is in use with another body.
  kPermissionDenied,   ///< The configuration does not allow this.
  kResourceExhausted,  ///< A queue, rate or in-flight limit is reached.
  kUnavailable,        ///< A peer cannot be reached or takes no new work.
  kDeadlineExceeded,   ///< The deadline passed first.
  kCancelled,          ///< The caller went away.
  kUpstreamProtocol,   ///< An upstream's answer is wrong, crossed or incomplete.
  kUpstreamLost,       ///< The upstream was lost while it ran the request.
  kQuarantined,        ///< The request is blocked because upstreams crashed while running it.
  kInternal,           ///< A fault of this program.
};

/** Returns the wire form, for example `deadline_exceeded`. */
std::string_view ToString(ErrorCode code);

/** A failure, what it means in plain words, and whether the request may have run. */
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string message;
  Verdict verdict = Verdict::kNotRun;

  friend bool operator==(const Error&, const Error&) = default;
};

/**
 * A value or an `Error`; reading the one that is absent throws.
 *
 *     Result<int> Parse(std::string_view text);
 *     BOOST_OUTCOME_TRY(auto port, Parse(text));
 */
template <typename T>
using Result = boost::outcome_v2::checked<T, Error>;

using boost::outcome_v2::success;

/** Makes an `Error` of a request that certainly did not run. */
inline Error NotRun(ErrorCode code, std::string message) {
  return Error{code, std::move(message), Verdict::kNotRun};
}

/** Makes an `Error` of a request whose outcome is unknown. */
inline Error MayHaveRun(ErrorCode code, std::string message) {
  return Error{code, std::move(message), Verdict::kMayHaveRun};
}

}  // namespace limpetfall

#endif  // LIMPETFALL_RESULT_H_
