#ifndef LIMPETFALL_CORE_BUFFER_BUDGET_H_
#define LIMPETFALL_CORE_BUFFER_BUDGET_H_

#include <algorithm>
#include <cstddef>

namespace limpetfall {

struct BufferBudgetOptions {
  /** Largest response that is buffered. Responses of plain services are a few KiB. */
  std::size_t max_response_bytes = 1 << 20;
  /** Every response may use this much, whatever the others use. */
  std::size_t guaranteed_response_bytes = 32 << 10;
  /** What all responses together may use beyond their guaranteed bytes: a tenth of a small VM. */
  std::size_t shared_bytes = 16 << 20;

  friend bool operator==(const BufferBudgetOptions&, const BufferBudgetOptions&) = default;
};

/**
 * Limits the memory of responses that are buffered until they are complete. Answers the load of
 * many upstreams that send endless responses at the same time, while others send normal ones. Not
 * thread-safe.
 *
 *     BufferBudget::Reservation reserved(budget);
 *     if (!reserved.GrowTo(body.size())) ...  // The response is too large.
 */
class BufferBudget {
 public:
  explicit BufferBudget(BufferBudgetOptions settings = {}) : options(settings) {}

  /** The bytes of one response. Returns them when destroyed. */
  class Reservation {
   public:
    explicit Reservation(BufferBudget& owner) : budget(owner) {}
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;
    ~Reservation() { this->budget.shared_in_use -= this->shared; }

    /** Returns whether the response may have `bytes`. Never shrinks. */
    [[nodiscard]] bool GrowTo(std::size_t bytes) {
      const BufferBudgetOptions& limits = this->budget.options;
      if (bytes > limits.max_response_bytes) return false;
      const std::size_t beyond = bytes - std::min(bytes, limits.guaranteed_response_bytes);
      if (beyond <= this->shared) return true;
      const std::size_t more = beyond - this->shared;
      if (this->budget.shared_in_use + more > limits.shared_bytes) return false;
      this->budget.shared_in_use += more;
      this->shared = beyond;
      return true;
    }

   private:
    BufferBudget& budget;
    std::size_t shared = 0;
  };

 private:
  BufferBudgetOptions options;
  std::size_t shared_in_use = 0;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_BUFFER_BUDGET_H_
