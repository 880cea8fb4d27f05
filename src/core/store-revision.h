#ifndef LIMPETFALL_CORE_STORE_REVISION_H_
#define LIMPETFALL_CORE_STORE_REVISION_H_

#include <compare>
#include <cstdint>

namespace limpetfall {

/**
 * Position in the history of the platform's store. The store begins a new era when it is restored
 * from a copy. It then gives out revision numbers again, so numbers of different eras are not
 * comparable; the later era is the newer one. A store that states no era is in era 0.
 */
struct StoreRevision {
  std::int64_t era = 0;
  std::int64_t number = 0;  ///< 0 before the first change, and for a key that does not exist.

  // clang-tidy 14 mistakes the 0 in the generated comparison for a null pointer.
  friend auto operator<=>(const StoreRevision&,
                          const StoreRevision&) = default;  // NOLINT(modernize-use-nullptr)
  friend bool operator==(const StoreRevision&, const StoreRevision&) = default;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_STORE_REVISION_H_
