#include "core/membership.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <set>

#include "harness/membership-network.h"

namespace limpetfall {
namespace {

using std::chrono::seconds;

/** Returns the seed of this run, from LIMPETFALL_SEED when it is set, and prints it. */
std::uint64_t Seed() {
  const char* seed_text = std::getenv("LIMPETFALL_SEED");
  const std::uint64_t seed = seed_text != nullptr ? std::stoull(seed_text) : std::random_device{}();
  std::cout << " seed " << seed << std::flush;
  return seed;
}

void AssertAllAlive(MembershipNetwork& network, std::size_t size) {
  for (std::size_t i = 0; i < size; ++i) {
    for (std::size_t j = 0; j < size; ++j) {
      CPPUNIT_ASSERT(network.StateInView(i, j) == MemberState::kAlive);
    }
  }
}

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(KilledNodeIsDeadOnAllNodes);
  CPPUNIT_TEST(StoppedNodeIsDeadWithinBound);
  CPPUNIT_TEST(OneBrokenPathDoesNotCauseSuspicion);
  CPPUNIT_TEST(ResumedNodeRefutesSuspicion);
  CPPUNIT_TEST(ResumedNodeSuspectsNoOtherNode);
  CPPUNIT_TEST(DomainsOfDeadOwnerMoveToOneNewOwner);
  CPPUNIT_TEST(LeavingNodeStaysExcludedWhileSuspect);
  CPPUNIT_TEST(HealedPartitionRejoins);
  CPPUNIT_TEST(DeadEntryExpires);
  CPPUNIT_TEST(RestartedNodeReplacesDeadEntry);
  CPPUNIT_TEST(RandomFaultSchedulesKeepInvariants);
  CPPUNIT_TEST_SUITE_END();

 public:
  void KilledNodeIsDeadOnAllNodes() {
    MembershipNetwork network(7, Seed());
    network.Run(seconds(5));
    network.SetRunning(3, false);
    network.Run(seconds(12));
    for (std::size_t i = 0; i < 7; ++i) {
      if (i != 3) CPPUNIT_ASSERT(network.StateInView(i, 3) == MemberState::kDead);
    }
  }

  // Guards against a takeover after the summaries of the dead owner have expired. The bound is one
  // probe interval, two probe timeouts, the suspicion time and 100 ms for messages.
  void StoppedNodeIsDeadWithinBound() {
    std::mt19937_64 random(Seed());
    const Milliseconds bound(1000 + 2 * 500 + 1500 + 100);
    for (int run = 0; run < 30; ++run) {
      const std::size_t size = 3 + random() % 20;
      MembershipNetwork network(size, random());
      network.Run(Milliseconds(3000 + random() % 1000));
      const std::size_t stopped = random() % size;
      network.SetRunning(stopped, false);
      network.Run(bound);
      for (std::size_t i = 0; i < size; ++i) {
        if (i != stopped) CPPUNIT_ASSERT(network.StateInView(i, stopped) == MemberState::kDead);
      }
    }
  }

  // Guards against declaring a node dead because of one broken path: only 0 -> 3 is cut.
  void OneBrokenPathDoesNotCauseSuspicion() {
    MembershipNetwork network(5, Seed());
    network.SetDropRule([](std::size_t from, std::size_t to) { return from == 0 && to == 3; });
    for (int i = 0; i < 600; ++i) {
      network.Run(Milliseconds(100));
      CPPUNIT_ASSERT(network.StateInView(0, 3) == MemberState::kAlive);
    }
  }

  // Guards against declaring a paused node dead, and against its return without a higher
  // incarnation.
  void ResumedNodeRefutesSuspicion() {
    MembershipNetwork network(3, Seed());
    network.SetRunning(2, false);
    for (int i = 0; i < 100 && network.StateInView(0, 2) == MemberState::kAlive; ++i) {
      network.Run(Milliseconds(100));
    }
    CPPUNIT_ASSERT(network.StateInView(0, 2) == MemberState::kSuspect);
    network.SetRunning(2, true);
    network.Run(seconds(5));
    AssertAllAlive(network, 3);
    CPPUNIT_ASSERT(network.core(0).Find(MembershipNetwork::Name(2))->incarnation > 1);
  }

  // Guards against a resumed node that suspects others because it missed responses while paused.
  void ResumedNodeSuspectsNoOtherNode() {
    MembershipNetwork network(5, Seed());
    network.Run(Milliseconds(3005));
    network.SetRunning(1, false);
    network.Run(seconds(30));
    network.SetRunning(1, true);
    for (int i = 0; i < 1000; ++i) {
      network.Run(Milliseconds(10));
      for (std::size_t j : {0, 2, 3, 4})
        CPPUNIT_ASSERT(network.StateInView(1, j) == MemberState::kAlive);
    }
    AssertAllAlive(network, 5);
  }

  // Guards against two owners, and against domains that move although their owner is running.
  void DomainsOfDeadOwnerMoveToOneNewOwner() {
    MembershipNetwork network(7, Seed());
    const auto owners = [&](std::size_t view) {
      std::vector<NodeId> all;
      all.reserve(200);
      for (int d = 0; d < 200; ++d) {
        all.push_back(*network.core(view).OwnerOf(DomainId("d" + std::to_string(d))));
      }
      return all;
    };
    const auto before = owners(0);
    CPPUNIT_ASSERT_EQUAL(std::size_t(7), std::set<NodeId>(before.begin(), before.end()).size());
    network.SetRunning(3, false);
    network.Run(seconds(15));
    const auto after = owners(0);
    for (std::size_t d = 0; d < 200; ++d) {
      const bool moved = before[d] != after[d];
      CPPUNIT_ASSERT_EQUAL(before[d] == MembershipNetwork::Name(3), moved);
    }
    for (std::size_t i : {1, 2, 4, 5, 6}) CPPUNIT_ASSERT(owners(i) == after);
  }

  // Guards against assigning callers and domains to a node that is about to stop.
  void LeavingNodeStaysExcludedWhileSuspect() {
    MembershipNetwork network(3, Seed());
    network.Perform(2, network.core(2).SetLeaving(network.time()));
    network.Run(seconds(1));
    const auto excluded = [&] {
      const auto addresses = network.core(0).CallerAddresses(ZoneId("z"));
      bool owns = false;
      for (int d = 0; d < 50; ++d) {
        owns |= network.core(0).OwnerOf(DomainId(std::to_string(d))) == MembershipNetwork::Name(2);
      }
      return addresses == std::vector<std::string>{"c0", "c1"} && !owns;
    };
    CPPUNIT_ASSERT(network.StateInView(0, 2) == MemberState::kLeaving);
    CPPUNIT_ASSERT(excluded());
    network.SetRunning(2, false);
    for (int i = 0; i < 100 && network.StateInView(0, 2) == MemberState::kLeaving; ++i) {
      network.Run(Milliseconds(100));
    }
    CPPUNIT_ASSERT(network.StateInView(0, 2) == MemberState::kSuspect);
    CPPUNIT_ASSERT(excluded());
  }

  void HealedPartitionRejoins() {
    MembershipNetwork network(6, Seed());
    network.SetDropRule([](std::size_t from, std::size_t to) { return (from < 3) != (to < 3); });
    network.Run(seconds(30));
    CPPUNIT_ASSERT(network.StateInView(0, 5) == MemberState::kDead);
    CPPUNIT_ASSERT(network.StateInView(0, 2) == MemberState::kAlive);
    network.SetDropRule({});
    network.Run(seconds(20));
    AssertAllAlive(network, 6);
  }

  // Guards against a member list that grows with every replaced VM.
  void DeadEntryExpires() {
    MembershipNetwork network(3, Seed());
    network.SetRunning(2, false);
    network.Run(seconds(90));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), network.core(0).Members().size());
    NodeInfo stale{MembershipNetwork::Name(2), ZoneId("z"), "c2", "n2", 1, MemberState::kDead};
    CPPUNIT_ASSERT(network.core(0).OnUpdate(stale, network.time()).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), network.core(0).Members().size());
  }

  // Guards against a restarted node that stays dead because its incarnation starts from 0 again.
  void RestartedNodeReplacesDeadEntry() {
    MembershipNetwork network(3, Seed());
    network.SetRunning(2, false);
    network.Run(seconds(15));
    CPPUNIT_ASSERT(network.StateInView(0, 2) == MemberState::kDead);
    NodeInfo self = network.core(2).self();
    self.incarnation = 0;
    network.core(2) = Membership::Create(self, {}, std::mt19937_64(Seed()), network.time()).value();
    network.core(2).OnUpdate(network.core(0).self(), network.time());
    network.SetRunning(2, true);
    network.Run(seconds(15));
    AssertAllAlive(network, 3);
  }

  // Random loss of up to 30%, kills and pauses. Incarnations never decrease, running nodes agree on
  // members and owners once the loss ends, and killed nodes stay dead.
  void RandomFaultSchedulesKeepInvariants() {
    std::mt19937_64 random(Seed());
    for (int schedule = 0; schedule < 30; ++schedule) {
      const std::size_t size = 3 + random() % 7;
      MembershipNetwork network(size, random());
      network.SetLossRate(static_cast<double>(random() % 30) / 100);
      const std::size_t killed = random() % size;
      const std::size_t paused = random() % size;
      std::vector<std::uint64_t> incarnations(size * size);
      for (int step = 0; step < 120; ++step) {
        if (step == 30) network.SetRunning(paused, false);
        if (step == 50) network.SetRunning(paused, true);
        if (step == 70) network.SetRunning(killed, false);
        network.Run(Milliseconds(250));
        this->CheckIncarnations(network, size, incarnations);
      }
      network.SetLossRate(0);
      network.Run(seconds(25));
      this->CheckAgreement(network, size, killed);
    }
  }

 private:
  static void CheckIncarnations(MembershipNetwork& network, std::size_t size,
                                std::vector<std::uint64_t>& highest) {
    for (std::size_t i = 0; i < size * size; ++i) {
      const auto info = network.core(i / size).Find(MembershipNetwork::Name(i % size));
      if (!info) continue;
      CPPUNIT_ASSERT(info->incarnation >= highest[i]);
      highest[i] = info->incarnation;
    }
  }

  static void CheckAgreement(MembershipNetwork& network, std::size_t size, std::size_t killed) {
    for (std::size_t i = 0; i < size; ++i) {
      if (i == killed) continue;
      for (std::size_t j = 0; j < size; ++j) {
        const auto expected = j == killed ? MemberState::kDead : MemberState::kAlive;
        CPPUNIT_ASSERT(network.StateInView(i, j) == expected);
      }
      for (int d = 0; d < 20; ++d) {
        const DomainId domain(std::to_string(d));
        const std::size_t first = killed == 0 ? 1 : 0;
        CPPUNIT_ASSERT(network.core(i).OwnerOf(domain) == network.core(first).OwnerOf(domain));
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

}  // namespace
}  // namespace limpetfall
