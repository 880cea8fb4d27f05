#include "core/state-mirror.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
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
  CPPUNIT_TEST(SnapshotOfLaterEraReplacesTheCopy);
  CPPUNIT_TEST(ChangesOfLaterEraDoNotApplyToTheCopy);
  CPPUNIT_TEST(UpdateOfEarlierEraIsIgnored);
  CPPUNIT_TEST(FollowerConvergesAcrossRestores);
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
    CPPUNIT_ASSERT(this->mirror.revision() == (StoreRevision{1, 9}));
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
      StateMirror source([](const StateItem&, ChangeOrigin) {});
      StateMirror follower([](const StateItem&, ChangeOrigin) {});
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
      StateMirror source([](const StateItem&, ChangeOrigin) {});
      StateMirror follower([](const StateItem&, ChangeOrigin) {});
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
    CPPUNIT_ASSERT(this->mirror.ChangesSince({1, 10}).snapshot);
    CPPUNIT_ASSERT(!this->mirror.ChangesSince({1, 3990}).snapshot);
  }

  // Guards against a copy that holds items of a history that no longer exists (CONFIG).
  void SnapshotOfLaterEraReplacesTheCopy() {
    this->mirror.Apply(Update({Item("a", "x", 3), Item("b", "y", 40)}, 50));
    this->observed.clear();
    StateUpdate snapshot = UpdateOfEra(2, {Item("a", "x", 3), Item("c", "z", 4)}, 5);
    snapshot.snapshot = true;
    CPPUNIT_ASSERT(this->mirror.Apply(snapshot));
    CPPUNIT_ASSERT(this->mirror.Find("b") == nullptr);
    CPPUNIT_ASSERT(this->mirror.Find("a")->revision == (StoreRevision{2, 3}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, this->observed.size());
    CPPUNIT_ASSERT(std::all_of(this->origins.end() - 3, this->origins.end(),
                               [](ChangeOrigin o) { return o == ChangeOrigin::kRestored; }));
    this->mirror.Apply(UpdateOfEra(2, {Item("a", "new", 6)}, 6));
    CPPUNIT_ASSERT(this->origins.back() == ChangeOrigin::kWritten);
    CPPUNIT_ASSERT(this->mirror.ChangesSince({1, 50}).snapshot);
    CPPUNIT_ASSERT(this->mirror.HasChangesSince({1, 50}));
  }

  // Guards against changes that are applied to a copy of another history, because their revisions
  // are higher by chance.
  void ChangesOfLaterEraDoNotApplyToTheCopy() {
    this->mirror.Apply(Update({Item("a", "x", 3)}, 5, 1));
    CPPUNIT_ASSERT(!this->mirror.Apply(UpdateOfEra(2, {Item("a", "y", 7)}, 7, 2)));
    CPPUNIT_ASSERT_EQUAL(std::string("x"), *this->mirror.Find("a")->value);
    CPPUNIT_ASSERT(this->mirror.confirmed() == Time(1));
  }

  void UpdateOfEarlierEraIsIgnored() {
    this->mirror.Apply(UpdateOfEra(2, {Item("a", "x", 3)}, 5, 1));
    StateUpdate earlier = Update({Item("a", "y", 90)}, 90, 2);
    earlier.snapshot = true;
    CPPUNIT_ASSERT(!this->mirror.Apply(earlier));
    CPPUNIT_ASSERT_EQUAL(std::string("x"), *this->mirror.Find("a")->value);
    CPPUNIT_ASSERT(this->mirror.confirmed() == Time(1));
  }

  // Guards against followers that keep what a restore has undone, with seeded random changes and
  // restores.
  void FollowerConvergesAcrossRestores() {
    for (unsigned seed = 1; seed <= 100; ++seed) {
      std::mt19937 random(seed);
      StateMirror source([](const StateItem&, ChangeOrigin) {});
      StateMirror follower([](const StateItem&, ChangeOrigin) {});
      std::map<std::string, StateItem> store;
      std::map<std::string, StateItem> copy;
      std::int64_t revision = 1;
      std::int64_t copy_revision = 1;
      std::int64_t era = 1;
      for (int step = 0; step < 300; ++step) {
        StateItem item = Item(std::string(1, static_cast<char>('a' + random() % 8)),
                              std::to_string(step), ++revision);
        if (random() % 3 == 0) item.value.reset();
        store.erase(item.key);
        if (item.value) store.emplace(item.key, item);
        StateUpdate update = UpdateOfEra(era, {item}, revision, step);
        if (random() % 20 == 0) {
          copy = store;
          copy_revision = revision;
        }
        if (random() % 40 == 0) {
          store = copy;
          revision = copy_revision;
          std::vector<StateItem> all;
          all.reserve(store.size());
          for (const auto& [key, kept] : store) all.push_back(kept);
          update = UpdateOfEra(++era, std::move(all), revision, step);
          update.snapshot = true;
        }
        source.Apply(update);
        if (random() % 5 == 0) follower.Apply(source.ChangesSince(follower.revision()));
      }
      follower.Apply(source.ChangesSince(follower.revision()));
      for (char key = 'a'; key < 'i'; ++key) {
        const StateItem* expected = source.Find(std::string(1, key));
        const StateItem* found = follower.Find(std::string(1, key));
        CPPUNIT_ASSERT_EQUAL(store.contains(std::string(1, key)), expected != nullptr);
        CPPUNIT_ASSERT_EQUAL(expected == nullptr, found == nullptr);
        CPPUNIT_ASSERT(expected == nullptr || *expected == *found);
      }
    }
  }

 private:
  static BootTime Time(std::int64_t seconds) { return BootTime(std::chrono::seconds(seconds)); }

  static StateItem Item(const std::string& key, const std::string& value, std::int64_t revision) {
    return {key, value, {1, revision}, revision};
  }

  static StateUpdate Update(std::vector<StateItem> items, std::int64_t revision,
                            std::int64_t confirmed_s = 0) {
    return {std::move(items), {1, revision}, false, Time(confirmed_s)};
  }

  static StateUpdate UpdateOfEra(std::int64_t era, std::vector<StateItem> items,
                                 std::int64_t revision, std::int64_t confirmed_s = 0) {
    for (StateItem& item : items) item.revision.era = era;
    return {std::move(items), {era, revision}, false, Time(confirmed_s)};
  }

  std::vector<StateItem> observed;
  std::vector<ChangeOrigin> origins;
  StateMirror mirror{[this](const StateItem& item, ChangeOrigin origin) {
    this->observed.push_back(item);
    this->origins.push_back(origin);
  }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StateMirrorTest);

}  // namespace
}  // namespace limpetfall
