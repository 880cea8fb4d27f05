#include "node/node-table.h"

#include <capnp/message.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "node/wire.h"

namespace limpetfall::detail {
namespace {

using std::chrono::seconds;

const TimePoint kNow{std::chrono::hours(100)};

SharedEntry Entry(const std::string& key, std::uint64_t version, Milliseconds lifetime) {
  return {key, version, kNow + lifetime, SuspectMark{version, 1, false}};
}

Membership CreateMembership(const std::string& id) {
  const NodeInfo self{NodeId(id), ZoneId("z"), "c", "127.0.0.1:1", 1, {}};
  return Membership::Create(self, {}, std::mt19937_64(1), kNow).value();
}

/** Two tables in an exchange: `local` compares itself with the digests of `remote`. */
struct TablePair {
  SharedState local_state;
  SharedState remote_state;
  NodeTable local{local_state, CreateMembership("a")};
  NodeTable remote{remote_state, CreateMembership("a")};

  TableDifference Compare() {
    std::vector<std::uint16_t> all;
    for (std::uint16_t i = 0; i < kBucketCount; ++i) all.push_back(i);
    return this->local.Compare(all, this->remote.Digests(kNow), kNow);
  }
};

class NodeTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeTableTest);
  CPPUNIT_TEST(CompareReturnsOnlyDifferingEntries);
  CPPUNIT_TEST(ExpiryIsExtendedWithoutContent);
  CPPUNIT_TEST(ExpiryOfAnotherVersionIsIgnored);
  CPPUNIT_TEST(ExpiryDifferenceOfNetworkDelayIsIgnored);
  CPPUNIT_TEST(EntryWithoutExpiryComparesEqual);
  CPPUNIT_TEST(MessageAgeIsSubtractedFromLifetime);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against sending entries that both sides already have.
  void CompareReturnsOnlyDifferingEntries() {
    TablePair pair;
    for (auto* state : {&pair.local_state, &pair.remote_state}) {
      state->Put(Entry("same", 3, seconds(5)), Urgency::kNormal, kNow);
    }
    pair.local_state.Put(Entry("mine", 1, seconds(5)), Urgency::kNormal, kNow);
    pair.local_state.Put(Entry("newer at remote", 1, seconds(5)), Urgency::kNormal, kNow);
    pair.remote_state.Put(Entry("newer at remote", 2, seconds(5)), Urgency::kNormal, kNow);
    const TableDifference difference = pair.Compare();
    CPPUNIT_ASSERT(difference.wanted == std::vector{HashKey("newer at remote")});
    CPPUNIT_ASSERT(difference.offered == EntryKeys{HashKey("mine")});
    CPPUNIT_ASSERT(difference.received_renewals.empty() && difference.renewals.empty());
  }

  void ExpiryIsExtendedWithoutContent() {
    TablePair pair;
    pair.local_state.Put(Entry("a", 3, seconds(5)), Urgency::kNormal, kNow);
    pair.remote_state.Put(Entry("a", 3, seconds(9)), Urgency::kNormal, kNow);
    const TableDifference difference = pair.Compare();
    CPPUNIT_ASSERT(difference.wanted.empty() && difference.offered.empty());
    pair.local.ExtendExpiry(difference.received_renewals, Milliseconds(40), kNow);
    CPPUNIT_ASSERT(pair.local_state.Find("a", kNow)->expires == kNow + Milliseconds(8960));
  }

  // Guards against extending an old group summary by the renewal of its successor.
  void ExpiryOfAnotherVersionIsIgnored() {
    TablePair pair;
    pair.local_state.Put(Entry("a", 2, seconds(5)), Urgency::kNormal, kNow);
    pair.local.ExtendExpiry({{HashKey("a"), 3, 9000}}, Milliseconds(0), kNow);
    CPPUNIT_ASSERT(pair.local_state.Find("a", kNow)->expires == kNow + seconds(5));
  }

  void ExpiryDifferenceOfNetworkDelayIsIgnored() {
    const EntryDigest one{1, 1, 5000};
    CPPUNIT_ASSERT(!HasLaterExpiry(one, {1, 1, 4900}) && !HasLaterExpiry({1, 1, 4900}, one));
    CPPUNIT_ASSERT(HashBuckets({one}, 100000) == HashBuckets({{1, 1, 4980}}, 100020));
    CPPUNIT_ASSERT(HashBuckets({one}, 100000) != HashBuckets({{1, 1, 7000}}, 100000));
  }

  // Guards against sending a manifest again in every exchange because it never expires.
  void EntryWithoutExpiryComparesEqual() {
    TablePair pair;
    pair.local_state.Put({"a", 1, TimePoint::max(), ConfigAnnouncement{1, "m"}}, Urgency::kNormal,
                         kNow);
    pair.remote_state.Put({"a", 1, kNow + std::chrono::hours(20), ConfigAnnouncement{1, "m"}},
                          Urgency::kNormal, kNow);
    CPPUNIT_ASSERT(HashBuckets(pair.local.Digests(kNow), 1) ==
                   HashBuckets(pair.remote.Digests(kNow), 1));
    CPPUNIT_ASSERT(pair.Compare().renewals.empty());
  }

  // Guards against an entry that expires after its owner's deadline because its message was
  // delayed.
  void MessageAgeIsSubtractedFromLifetime() {
    capnp::MallocMessageBuilder message;
    auto builder = message.initRoot<wire::Entry>();
    WriteEntry(Entry("a", 1, seconds(5)), kNow, builder);
    const TimePoint arrival = kNow + seconds(2);
    const auto entry = ReadEntry(builder.asReader(), seconds(2), arrival);
    CPPUNIT_ASSERT(entry->expires == kNow + seconds(5));
    CPPUNIT_ASSERT(!ReadEntry(builder.asReader(), seconds(5), arrival).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeTableTest);

}  // namespace
}  // namespace limpetfall::detail
