#include "core/state-mirror.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace limpetfall {
namespace {

class StateMirrorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StateMirrorTest);
  CPPUNIT_TEST(OlderItemDoesNotReplaceNewerOne);
  CPPUNIT_TEST(OlderUpdateDoesNotAdvanceConfirmedTime);
  CPPUNIT_TEST(SnapshotRemovesUnlistedKeys);
  CPPUNIT_TEST(FollowerConvergesToSourceState);
  CPPUNIT_TEST(FollowerGetsAllChangesOfOneRevision);
  CPPUNIT_TEST(LaggingFollowerGetsSnapshot);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a configuration that reverts to an older one when changes arrive out of order.
  void OlderItemDoesNotReplaceNewerOne() {
    this->mirror.Apply(Update({Item("a", "new", 7)}, 7));
    this->mirror.Apply(Update({Item("a", "old", 5)}, 8));
    CPPUNIT_ASSERT_EQUAL(std::string("new"), *this->mirror.Find("a")->value);
  }

  // Guards against a newer confirmation time taken from a node whose copy is older than this one.
  void OlderUpdateDoesNotAdvanceConfirmedTime() {
    this->mirror.Apply(Update({Item("a", "x", 7)}, 9, 1));
    StateUpdate older = Update({}, 8, 50);
    this->mirror.Apply(older);
    CPPUNIT_ASSERT(this->mirror.confirmed() == Time(1));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{9}, this->mirror.revision());
  }

  // Guards against runners that stay listed when the history with their removal was lost.
  void SnapshotRemovesUnlistedKeys() {
    this->mirror.Apply(Update({Item("a", "x", 3), Item("b", "y", 4)}, 5));
    StateUpdate snapshot = Update({Item("a", "x", 3)}, 9);
    snapshot.snapshot = true;
    this->mirror.Apply(snapshot);
    CPPUNIT_ASSERT(this->mirror.Find("b") == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), this->observed.back().key);
    CPPUNIT_ASSERT(!this->observed.back().value);
  }

  // Guards against a follower that learns of only one of several removals in one transaction, and
  // goes on using a runner that has left (review/3, DRAIN).
  void FollowerGetsAllChangesOfOneRevision() {
    for (unsigned seed = 1; seed <= 300; ++seed) {
      std::mt19937 random(seed);
      StateMirror source([](const StateItem&) {});
      StateMirror follower([](const StateItem&) {});
      for (std::int64_t revision = 1; revision <= 60; ++revision) {
        std::vector<StateItem> changes;
        for (char key = 'a'; key < 'a' + 26; ++key) {
          if (random() % 4 != 0) continue;
          changes.push_back(Item(std::string(1, key), std::to_string(revision), revision));
          if (random() % 2 == 0) changes.back().value.reset();
        }
        source.Apply(Update(changes, revision, revision));
        // The store may deliver changes again.
        if (random() % 10 == 0) source.Apply(Update(changes, revision, revision));
        if (random() % 3 == 0) follower.Apply(source.ChangesSince(follower.revision()));
      }
      follower.Apply(source.ChangesSince(follower.revision()));
      for (char key = 'a'; key < 'a' + 26; ++key) {
        const StateItem* expected = source.Find(std::string(1, key));
        const StateItem* found = follower.Find(std::string(1, key));
        CPPUNIT_ASSERT_EQUAL(expected == nullptr, found == nullptr);
        CPPUNIT_ASSERT(expected == nullptr || *expected == *found);
      }
    }
  }

  // Guards against writes or removals missed by a node that follows another one, with seeded random
  // changes.
  void FollowerConvergesToSourceState() {
    for (unsigned seed = 1; seed <= 50; ++seed) {
      std::mt19937 random(seed);
      StateMirror source([](const StateItem&) {});
      StateMirror follower([](const StateItem&) {});
      for (std::int64_t revision = 1; revision <= 200; ++revision) {
        const std::string key(1, static_cast<char>('a' + random() % 8));
        StateItem item = Item(key, std::to_string(revision), revision);
        if (random() % 3 == 0) item.value.reset();
        source.Apply(Update({item}, revision, revision));
        if (random() % 5 == 0) follower.Apply(source.ChangesSince(follower.revision()));
      }
      follower.Apply(source.ChangesSince(follower.revision()));
      for (char key = 'a'; key < 'i'; ++key) {
        const StateItem* a = source.Find(std::string(1, key));
        const StateItem* b = follower.Find(std::string(1, key));
        CPPUNIT_ASSERT_EQUAL(a == nullptr, b == nullptr);
        if (a != nullptr) CPPUNIT_ASSERT(*a == *b);
      }
    }
  }

  // Guards against removals that drop out of the history while a node is disconnected.
  void LaggingFollowerGetsSnapshot() {
    for (std::int64_t revision = 1; revision <= 4000; revision += 2) {
      this->mirror.Apply(Update({Item("k" + std::to_string(revision), "x", revision)}, revision));
      StateItem removed = Item("k" + std::to_string(revision), "", revision + 1);
      removed.value.reset();
      this->mirror.Apply(Update({removed}, revision + 1));
    }
    CPPUNIT_ASSERT(this->mirror.ChangesSince(10).snapshot);
    CPPUNIT_ASSERT(!this->mirror.ChangesSince(3990).snapshot);
  }

 private:
  static BootTime Time(std::int64_t seconds) { return BootTime(std::chrono::seconds(seconds)); }

  static StateItem Item(const std::string& key, const std::string& value, std::int64_t revision) {
    return {key, value, revision, revision};
  }

  static StateUpdate Update(std::vector<StateItem> items, std::int64_t revision,
                            std::int64_t confirmed_s = 0) {
    return {std::move(items), revision, false, Time(confirmed_s)};
  }

  std::vector<StateItem> observed;
  StateMirror mirror{[this](const StateItem& item) { this->observed.push_back(item); }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StateMirrorTest);

}  // namespace
}  // namespace limpetfall
