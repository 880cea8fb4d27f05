#include "core/order-claims.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/base64.h"
#include "core/config-document.h"

namespace limpetfall {
namespace {

using Json = nlohmann::json;

constexpr std::array<std::pair<ClaimState, std::string_view>, 5> kClaimStateNames = {{
    {ClaimState::kClaimed, "claimed"},
    {ClaimState::kReleased, "released"},
    {ClaimState::kAnswered, "answered"},
    {ClaimState::kRan, "ran"},
    {ClaimState::kUnknown, "unknown"},
}};

std::string_view ClaimStateName(ClaimState state) {
  for (const auto& [value, text] : kClaimStateNames) {
    if (value == state) return text;
  }
  return "unknown";
}

std::optional<ClaimState> ParseClaimState(std::string_view text) {
  for (const auto& [state, name] : kClaimStateNames) {
    if (name == text) return state;
  }
  return std::nullopt;
}

// The order of a malformed claim may have run.
Error MalformedClaim() {
  return MayHaveRun(ErrorCode::kInternal, "the claim of this order is malformed");
}

void AppendLengthPrefixed(std::string& text, std::string_view part) {
  text += std::to_string(part.size());
  text += ':';
  text += part;
}

bool IsUnreserved(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '_' || c == '.';
}

std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string escaped;
  for (const char c : text) {
    if (IsUnreserved(c)) {
      escaped += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    escaped += '%';
    escaped += kDigits[byte >> 4U];
    escaped += kDigits[byte & 15U];
  }
  return escaped;
}

ClaimDecision Reply(Result<ServiceAnswer> reply) { return {ClaimAction::kReply, std::move(reply)}; }

ClaimDecision DecideClaimedOrder(HolderState holder) {
  switch (holder) {
    case HolderState::kRunning:
      return {ClaimAction::kWait, std::nullopt};
    case HolderState::kAbandoned:
      return {ClaimAction::kTakeOver, std::nullopt};
    case HolderState::kLost:
      break;
  }
  return Reply(MayHaveRun(
      ErrorCode::kUpstreamLost,
      "the node that dispatched this order has failed or restarted; the order may have run"));
}

Error AnswerNotRecorded(std::size_t body_bytes) {
  std::string message = "the order ran, but its answer is not available";
  if (body_bytes > 0) {
    message += ": its body of " + std::to_string(body_bytes) + " bytes is too large to record";
  }
  return Error{ErrorCode::kInternal, std::move(message), Verdict::kRan};
}

}  // namespace

std::string SerializeClaim(const OrderClaim& claim) {
  Json json = {{"digest", claim.digest},
               {"node", claim.node.value},
               {"attempt", claim.attempt},
               {"state", ClaimStateName(claim.state)}};
  if (claim.state == ClaimState::kAnswered) {
    json["status"] = claim.answer.status;
    json["content_type"] = EncodeBase64(claim.answer.content_type);
    json["body"] = EncodeBase64(claim.answer.body);
    json["version"] = claim.answer.version;
  }
  if (claim.body_bytes > 0) json["body_bytes"] = claim.body_bytes;
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<OrderClaim> ParseClaim(std::string_view json) {
  const Json parsed = Json::parse(json, nullptr, false);
  if (!parsed.is_object()) return MalformedClaim();
  try {
    OrderClaim claim{parsed.at("digest").get<std::string>(),
                     NodeId(parsed.at("node").get<std::string>()),
                     parsed.at("attempt").get<std::string>(),
                     ClaimState::kUnknown,
                     {},
                     parsed.value("body_bytes", std::size_t{0})};
    const auto state = ParseClaimState(parsed.at("state").get<std::string>());
    if (!state) return MalformedClaim();
    claim.state = *state;
    if (claim.state == ClaimState::kAnswered) {
      auto content_type = DecodeBase64(parsed.at("content_type").get<std::string>());
      auto body = DecodeBase64(parsed.at("body").get<std::string>());
      if (!content_type || !body) return MalformedClaim();
      claim.answer = {parsed.at("status").get<int>(), std::move(*content_type), std::move(*body),
                      parsed.at("version").get<ConfigVersion>()};
    }
    return claim;
  } catch (const Json::exception&) {
    return MalformedClaim();
  }
}

std::string OrderDigest(const ServiceCall& call) {
  // The length prefixes give calls different digests even if their concatenated parts are equal.
  std::string text;
  AppendLengthPrefixed(text, call.branch.value);
  AppendLengthPrefixed(text, call.team.value);
  AppendLengthPrefixed(text, call.method);
  AppendLengthPrefixed(text, call.path);
  AppendLengthPrefixed(text, call.content_type);
  AppendLengthPrefixed(text, call.body);
  return SectionDigest(text);
}

Result<std::string> ClaimKey(const ServiceName& service, std::string_view idempotency_key) {
  if (idempotency_key.empty() || idempotency_key.size() > kMaxOrderKeyBytes) {
    return NotRun(ErrorCode::kInvalidArgument, "an idempotency key has 1 to 256 bytes");
  }
  return "/limpetfall/orders/" + PercentEncode(service.value) + "/" +
         PercentEncode(idempotency_key);
}

OrderClaim NewClaim(const ServiceCall& call, NodeId node, std::string attempt) {
  return {OrderDigest(call), std::move(node), std::move(attempt), ClaimState::kClaimed, {}, 0};
}

OrderClaim ReleasedClaim(OrderClaim claim) {
  claim.state = ClaimState::kReleased;
  return claim;
}

OrderClaim ClaimWithOutcome(OrderClaim claim, const Result<ServiceAnswer>& result) {
  if (!result) {
    const Verdict verdict = result.error().verdict;
    if (verdict == Verdict::kNotRun) return ReleasedClaim(std::move(claim));
    claim.state = verdict == Verdict::kRan ? ClaimState::kRan : ClaimState::kUnknown;
    return claim;
  }
  const ServiceAnswer& answer = result.value();
  if (answer.body.size() > kMaxRecordedBodyBytes) {
    claim.state = ClaimState::kRan;
    claim.body_bytes = answer.body.size();
    return claim;
  }
  claim.state = ClaimState::kAnswered;
  claim.answer = answer;
  return claim;
}

ClaimDecision DecideClaim(const OrderClaim& own, const OrderClaim& found, HolderState holder) {
  if (found.digest != own.digest) {
    return Reply(NotRun(ErrorCode::kConflict,
                        "the idempotency key was used before with a different request"));
  }
  switch (found.state) {
    case ClaimState::kClaimed:
      if (found.attempt == own.attempt) return {ClaimAction::kDispatch, std::nullopt};
      return DecideClaimedOrder(holder);
    case ClaimState::kReleased:
      return {ClaimAction::kTakeOver, std::nullopt};
    case ClaimState::kAnswered:
      return Reply(found.answer);
    case ClaimState::kRan:
      return Reply(AnswerNotRecorded(found.body_bytes));
    case ClaimState::kUnknown:
      break;
  }
  return Reply(MayHaveRun(ErrorCode::kUpstreamLost, "the order may have run"));
}

}  // namespace limpetfall
