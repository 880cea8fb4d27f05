#ifndef LIMPETFALL_BASE_IDS_H_
#define LIMPETFALL_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace limpetfall {

/**
 * A strongly typed string identifier: a VM id, for example, cannot be passed as a group id.
 */
template <typename Tag>
struct Id {
  std::string value;

  Id() = default;
  explicit Id(std::string text) : value(std::move(text)) {}

  // clang-tidy 14 mistakes the 0 in the generated comparison for a null pointer.
  friend auto operator<=>(const Id&, const Id&) = default;  // NOLINT(modernize-use-nullptr)
  friend bool operator==(const Id&, const Id&) = default;
};

using VmId = Id<struct VmTag>;
using DomainId = Id<struct DomainTag>;
using GroupId = Id<struct GroupTag>;
using NodeId = Id<struct NodeTag>;
using ZoneId = Id<struct ZoneTag>;
using TeamName = Id<struct TeamTag>;
using BranchName = Id<struct BranchTag>;
using ModelName = Id<struct ModelTag>;
using ModelVersion = Id<struct ModelVersionTag>;
using ServiceName = Id<struct ServiceTag>;
using RequestId = Id<struct RequestTag>;

/** Fencing token of a group. Increases with every change of the group's members or model. */
using Generation = std::uint64_t;

/** Version of the configuration document. Increases with every accepted change. */
using ConfigVersion = std::uint64_t;

}  // namespace limpetfall

template <typename Tag>
struct std::hash<limpetfall::Id<Tag>> {
  std::size_t operator()(const limpetfall::Id<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.value);
  }
};

#endif  // LIMPETFALL_BASE_IDS_H_
