#ifndef LIMPETFALL_CORE_ENGINE_LOAD_H_
#define LIMPETFALL_CORE_ENGINE_LOAD_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "core/gateway-config.h"

namespace limpetfall {

/** Numbers of tokens that a request states; 0 if it does not. */
struct TokenCounts {
  std::int64_t prompt = 0;
  std::int64_t max_answer = 0;

  friend bool operator==(const TokenCounts&, const TokenCounts&) = default;
};

// A longer prompt fits no engine; a wrong count must not outweigh all other requests.
inline constexpr double kMaxPromptTokens = 1'000'000;

/**
 * Returns how long a request occupies a slot of a group whose slots are all in use by requests of
 * the same size, or zero if the engine profile does not state its durations or the model.
 *
 * Answers the load of a model with long prompts. All requests of a group stand still while it reads
 * a prompt, so the time that requests take in a group with little load says little about the number
 * of groups that are needed.
 */
[[nodiscard]] inline std::chrono::duration<double> FullLoadTime(const EngineProfile& engine,
                                                                const ModelName& model,
                                                                const TokenCounts& stated) {
  const auto served =
      std::find_if(engine.models.begin(), engine.models.end(),
                   [&](const ServedModel& candidate) { return candidate.name == model; });
  if (served == engine.models.end() || engine.step_ms <= 0 || engine.prefill_tokens_per_ms <= 0)
    return {};
  const auto typical_prompt = static_cast<double>(engine.typical_prompt_tokens);
  const auto typical_answer = static_cast<double>(engine.typical_answer_tokens);
  const double prompt = 0 < stated.prompt
                            ? std::min(static_cast<double>(stated.prompt), kMaxPromptTokens)
                            : typical_prompt;
  const double answer = 0 < stated.max_answer
                            ? std::min(static_cast<double>(stated.max_answer), typical_answer)
                            : typical_answer;
  const double step_ms = engine.step_ms + engine.slots * engine.step_ms_per_request;
  const double ms = answer * step_ms + engine.slots * prompt / engine.prefill_tokens_per_ms;
  return std::chrono::duration<double, std::milli>(ms * served->time_factor);
}

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_ENGINE_LOAD_H_
