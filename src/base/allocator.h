#ifndef LIMPETFALL_BASE_ALLOCATOR_H_
#define LIMPETFALL_BASE_ALLOCATOR_H_

#include <malloc.h>

namespace limpetfall {

/**
 * Makes the allocator return large blocks to the system as soon as they are freed. By default, the
 * threshold rises to the largest block that was freed, and the bodies of a crowd of callers would
 * keep their memory in the heap of the process.
 */
inline void ReturnLargeBlocks() {
  constexpr int kMinMappedBytes = 128 << 10;
  mallopt(M_MMAP_THRESHOLD, kMinMappedBytes);
}

}  // namespace limpetfall

#endif  // LIMPETFALL_BASE_ALLOCATOR_H_
