#ifndef LIMPETFALL_VERDICT_H_
#define LIMPETFALL_VERDICT_H_

#include <optional>
#include <string_view>

namespace limpetfall {

/**
 * Whether a request may have run on an upstream.
 *
 * Only a request with verdict `kNotRun` can be retried safely:
 *
 *     if (error.verdict == Verdict::kNotRun) Retry(request);
 */
enum class Verdict {
  kNotRun,      ///< No upstream can have acted on any byte of the request.
  kMayHaveRun,  ///< The outcome is unknown.
  kRan,         ///< The request ran, and its outcome is known.
};

/** Returns the wire form: `not-run`, `may-have-run` or `ran`. */
constexpr std::string_view ToString(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return "not-run";
    case Verdict::kMayHaveRun:
      return "may-have-run";
    case Verdict::kRan:
      return "ran";
  }
  return "may-have-run";
}

/** Parses the wire form; returns `std::nullopt` for any other text. */
constexpr std::optional<Verdict> ParseVerdict(std::string_view text) {
  if (text == "not-run") return Verdict::kNotRun;
  if (text == "may-have-run") return Verdict::kMayHaveRun;
  if (text == "ran") return Verdict::kRan;
  return std::nullopt;
}

}  // namespace limpetfall

#endif  // LIMPETFALL_VERDICT_H_
