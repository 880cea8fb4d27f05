#include "core/shared-state.h"

#include <cppunit/extensions/HelperMacros.h>

namespace limpetfall {
namespace {

using std::chrono::seconds;

const TimePoint kNow{std::chrono::hours(1)};

SharedEntry Entry(std::string key, std::uint64_t version, int lifetime_s) {
  return {std::move(key), version, kNow + seconds(lifetime_s), SuspectMark{version, 1, false}};
}

class SharedStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SharedStateTest);
  CPPUNIT_TEST(HigherVersionReplacesLower);
  CPPUNIT_TEST(EqualVersionIsStoredOnlyWithALaterExpiry);
  CPPUNIT_TEST(ExpiredEntriesAreNotReturned);
  CPPUNIT_TEST(ListIsOrderedByKey);
  CPPUNIT_TEST(ListenersAreNotifiedOnlyOfAcceptedChanges);
  CPPUNIT_TEST(ListenerCanPutWithoutDeadlock);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against replacing an entry by an older copy that arrives late.
  void HigherVersionReplacesLower() {
    SharedState state;
    CPPUNIT_ASSERT(state.Put(Entry("a", 2, 5), Urgency::kNormal, kNow));
    CPPUNIT_ASSERT(!state.Put(Entry("a", 1, 50), Urgency::kNormal, kNow));
    CPPUNIT_ASSERT(state.Put(Entry("a", 3, 1), Urgency::kNormal, kNow));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), state.Find("a", kNow)->version);
  }

  void EqualVersionIsStoredOnlyWithALaterExpiry() {
    SharedState state;
    state.Put(Entry("a", 2, 5), Urgency::kNormal, kNow);
    CPPUNIT_ASSERT(!state.Put(Entry("a", 2, 4), Urgency::kNormal, kNow));
    CPPUNIT_ASSERT(state.Put(Entry("a", 2, 8), Urgency::kNormal, kNow));
    CPPUNIT_ASSERT(state.Find("a", kNow + seconds(7)).has_value());
  }

  // Guards against using a group whose owner no longer renews its entry.
  void ExpiredEntriesAreNotReturned() {
    SharedState state;
    state.Put(Entry("a", 1, 5), Urgency::kNormal, kNow);
    CPPUNIT_ASSERT(state.Find("a", kNow + Milliseconds(4999)).has_value());
    CPPUNIT_ASSERT(!state.Find("a", kNow + seconds(5)).has_value());
    CPPUNIT_ASSERT(state.List("", kNow + seconds(5)).empty());
    CPPUNIT_ASSERT(!state.Put(Entry("b", 1, 0), Urgency::kNormal, kNow));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), state.RemoveExpired(kNow + seconds(5)));
  }

  void ListIsOrderedByKey() {
    SharedState state;
    for (const char* key : {"group/b", "node/a", "group/a", "groups"}) {
      state.Put(Entry(key, 1, 5), Urgency::kNormal, kNow);
    }
    const auto found = state.List("group/", kNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), found.size());
    CPPUNIT_ASSERT_EQUAL(std::string("group/a"), found[0].key);
  }

  // Guards against endless forwarding of entries that are already stored.
  void ListenersAreNotifiedOnlyOfAcceptedChanges() {
    SharedState state;
    std::vector<std::uint64_t> notified_versions;
    state.AddListener(
        [&](const SharedEntry& entry, Urgency) { notified_versions.push_back(entry.version); });
    state.Put(Entry("a", 2, 5), Urgency::kUrgent, kNow);
    state.Put(Entry("a", 2, 5), Urgency::kUrgent, kNow);
    state.Put(Entry("a", 1, 5), Urgency::kUrgent, kNow);
    CPPUNIT_ASSERT(notified_versions == std::vector<std::uint64_t>{2});
  }

  // Guards against a deadlock when a listener calls Put().
  void ListenerCanPutWithoutDeadlock() {
    SharedState state;
    state.AddListener([&](const SharedEntry& entry, Urgency) {
      if (entry.version == 1) state.Put(Entry("a", 2, 5), Urgency::kNormal, kNow);
    });
    state.Put(Entry("a", 1, 5), Urgency::kNormal, kNow);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), state.Find("a", kNow)->version);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharedStateTest);

}  // namespace
}  // namespace limpetfall
