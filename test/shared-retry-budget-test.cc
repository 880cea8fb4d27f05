#include "core/shared-retry-budget.h"

#include <cppunit/extensions/HelperMacros.h>

namespace limpetfall {
namespace {

const ServiceName kService("folds");
const TimePoint kStart{std::chrono::seconds(100)};

class SharedRetryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SharedRetryBudgetTest);
  CPPUNIT_TEST(ExtraAttemptsOfAllNodesStayWithinTheBudget);
  CPPUNIT_TEST(ExtraAttemptIsAvailableWhenOldestLeavesTheWindow);
  CPPUNIT_TEST(ServicesHaveSeparateBudgets);
  CPPUNIT_TEST(BudgetOfRequestsExpiresWithTheWindow);
  CPPUNIT_TEST(SlackFractionsSumToAtMostOneInAPartition);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a retry storm by all nodes after the loss of a group under full load.
  void ExtraAttemptsOfAllNodesStayWithinTheBudget() {
    constexpr int kNodes = 6;
    int taken = 0;
    for (int node = 0; node < kNodes; ++node) {
      SharedRetryBudget budget({0.2, 100, Milliseconds(10000)});
      budget.SetSlackFraction(1.0 / kNodes);
      for (int i = 0; i < 100; ++i) budget.OnRequest(kService, kStart);
      while (budget.TryTake(kService, kStart)) ++taken;
    }
    CPPUNIT_ASSERT(taken <= 0.2 * 100 * kNodes + 100);
    CPPUNIT_ASSERT(taken >= 0.2 * 100 * kNodes + 100 - kNodes);
  }

  // Guards against using two budgets within one window, as with losses just before and after the
  // boundary of a fixed window.
  void ExtraAttemptIsAvailableWhenOldestLeavesTheWindow() {
    SharedRetryBudget budget({0, 10, Milliseconds(10000)});
    for (int i = 0; i < 10; ++i)
      CPPUNIT_ASSERT(budget.TryTake(kService, kStart + Milliseconds(900 * i)));
    CPPUNIT_ASSERT(!budget.TryTake(kService, kStart + Milliseconds(9900)));
    CPPUNIT_ASSERT(budget.TryTake(kService, kStart + Milliseconds(10001)));
    CPPUNIT_ASSERT(!budget.TryTake(kService, kStart + Milliseconds(10002)));
  }

  // Guards against a service that uses the retries of another one.
  void ServicesHaveSeparateBudgets() {
    SharedRetryBudget budget({0, 1, Milliseconds(10000)});
    CPPUNIT_ASSERT(budget.TryTake(kService, kStart));
    CPPUNIT_ASSERT(!budget.TryTake(kService, kStart));
    CPPUNIT_ASSERT(budget.TryTake(ServiceName("orders"), kStart));
  }

  // Guards against accumulating retries during periods of little traffic.
  void BudgetOfRequestsExpiresWithTheWindow() {
    SharedRetryBudget budget({0.5, 0, Milliseconds(10000)});
    for (int i = 0; i < 10; ++i) budget.OnRequest(kService, kStart);
    CPPUNIT_ASSERT(!budget.TryTake(kService, kStart + Milliseconds(10001)));
  }

  // Guards against exceeding the total slack when nodes reach none or only some of the others.
  void SlackFractionsSumToAtMostOneInAPartition() {
    double total_fraction = 0;
    for (int node = 0; node < 8; ++node) {
      const std::size_t reachable = node < 5 ? 1 : 3;
      total_fraction += RetrySlackFraction({true, reachable, 0, 8});
    }
    for (int node = 0; node < 68; ++node) total_fraction += RetrySlackFraction({false, 8, 68, 8});
    CPPUNIT_ASSERT(total_fraction <= 1);
    CPPUNIT_ASSERT(total_fraction > 0.85);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharedRetryBudgetTest);

}  // namespace
}  // namespace limpetfall
