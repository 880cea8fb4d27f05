#include "gateway/peers.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <random>

#include "gateway/gateway-node.h"
#include "gateway/plan-codec.h"
#include "gateway/quarantine-codec.h"

namespace limpetfall {
namespace {

class PeersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeersTest);
  CPPUNIT_TEST(ProofAgeCountsFromTheEchoedTime);
  CPPUNIT_TEST(MessageWithoutEchoGivesNoProof);
  CPPUNIT_TEST(ReorderedMessageIsIgnored);
  CPPUNIT_TEST(RestartedNodeWithLowerClockIsAccepted);
  CPPUNIT_TEST(NodeWithoutRecentMessageIsNotAlive);
  CPPUNIT_TEST(StandbyNodeHasLongerLivenessTimeout);
  CPPUNIT_TEST(StatusRoundTripsThroughEncoding);
  CPPUNIT_TEST(ChangesRoundTripThroughEncoding);
  CPPUNIT_TEST(HeldTimeIsNotCountedAsProofAge);
  CPPUNIT_TEST(OutOfRangeProofAgeIsDiscarded);
  CPPUNIT_TEST(RateLimitsOutOfRangeAreDiscarded);
  CPPUNIT_TEST(HeldMessagesKeepOrderOfStatements);
  CPPUNIT_TEST(MalformedMessagesDoNotCrash);
  CPPUNIT_TEST(StoredQuarantinesRoundTripThroughEncoding);
  CPPUNIT_TEST(MalformedStoredQuarantinesAreErrors);
  CPPUNIT_TEST(PlanVersionRoundTripsThroughEncoding);
  CPPUNIT_TEST(PlanOfEarlierProgramIsOrderedByItsRevision);
  CPPUNIT_TEST(RestoredPlanOfEarlierProgramIsNotTheNewest);
  CPPUNIT_TEST(ConfigurationThatWasMissedBeforeRestoreIsNoProof);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a proof that appears more recent than it is because the message was delayed.
  void ProofAgeCountsFromTheEchoedTime() {
    PeerStatus status = Status("n2", 1);
    status.proof_age_ms = 300;
    status.echo_at_ns = 5'000'000'000;
    CPPUNIT_ASSERT(this->table.OnStatus(status, At(0)));
    CPPUNIT_ASSERT(this->table.MostRecentlyConfirmed(At(0))->confirmed ==
                   BootTime(std::chrono::milliseconds(4700)));
  }

  // Guards against deriving a proof from the clock of another node.
  void MessageWithoutEchoGivesNoProof() {
    PeerStatus status = Status("n2", 1);
    status.proof_age_ms = 0;
    this->table.OnStatus(status, At(0));
    CPPUNIT_ASSERT(this->table.MostRecentlyConfirmed(At(0)) == nullptr);
  }

  // Guards against a node that appears ready again because an older datagram arrives later.
  void ReorderedMessageIsIgnored() {
    PeerStatus status = Status("n2", 2);
    status.ready = false;
    this->table.OnStatus(status, At(0));
    CPPUNIT_ASSERT(!this->table.OnStatus(Status("n2", 1), At(10)));
    CPPUNIT_ASSERT(!this->table.Find(NodeId("n2"))->status.ready);
  }

  // Guards against ignoring a node whose clock restarted from zero.
  void RestartedNodeWithLowerClockIsAccepted() {
    this->table.OnStatus(Status("n2", 100), At(0));
    CPPUNIT_ASSERT(this->table.OnStatus(Status("n2", 1), At(5000)));
  }

  // Guards against sending callers to a failed node.
  void NodeWithoutRecentMessageIsNotAlive() {
    this->table.OnStatus(Status("n2", 1), At(0));
    this->table.OnStatus(Status("n2", 2), At(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->table.LivePeers(At(1300)).size());
    CPPUNIT_ASSERT(this->table.LivePeers(At(1800)).empty());
  }

  // Guards against standby nodes that alternate between alive and dead because they send less
  // often.
  void StandbyNodeHasLongerLivenessTimeout() {
    this->table.OnStatus(Status("n2", 1), At(0));
    this->table.OnStatus(Status("n2", 2), At(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->table.LivePeers(At(3100)).size());
  }

  // Guards against fields that are lost or swapped by the encoding.
  void StatusRoundTripsThroughEncoding() {
    PeerStatus status = Status("n2", 7);
    status.zone = ZoneId("ennis");
    status.ready = true;
    status.capacity = 0.5;
    status.echo_at_ns = 8;
    status.proof_age_ms = 9;
    status.mirror_revision = {2, 10};
    status.config_version = 11;
    status.plan_version = {2, 12};
    status.loads = {{1, 2}, {3, 4}};
    status.suspended = {5, 6};
    status.demands = {{ModelName("folds"), 12.5}};
    const TimePoint now = At(90000);
    status.rate_limits = {{17, StatedRate{RequestRate::FromPerSecond(4.8).value(), At(89500)}, 2.5},
                          {18, StatedRate{RequestRate(), At(89900)}, 0},
                          {19, std::nullopt, 1.5}};
    status.crashes = {
        {{11, 12, {12, 13}, At(80000), At(80100)}, {14, 15, {}, At(70000), At(70200)}},
        {{16, At(89000)}},
        {{{12, 13}, 2, true, At(100000)}}};
    CPPUNIT_ASSERT(DecodePeerStatus(EncodePeerStatus(status, now), now).value() == status);
  }

  // Guards against changes that decode differently from what was encoded.
  void ChangesRoundTripThroughEncoding() {
    StateUpdate update{{{"a", std::string("x\0y", 3), {2, 4}, 2}, {"b", std::nullopt, {2, 5}, 0}},
                       {2, 6},
                       true,
                       BootTime(std::chrono::seconds(90))};
    const BootTime sent(std::chrono::seconds(91));
    const std::string bytes = EncodeChanges(update, sent, sent);
    const BootTime requested_at(std::chrono::seconds(50));
    const auto decoded = DecodeChanges(bytes, requested_at, requested_at + Milliseconds(5));
    update.confirmed = BootTime(std::chrono::seconds(49));
    CPPUNIT_ASSERT(decoded.value() == update);
  }

  // Guards against counting the time for which the other node held the request as proof age, and
  // against a stated held time that exceeds the time between request and response.
  void HeldTimeIsNotCountedAsProofAge() {
    const BootTime sent(std::chrono::seconds(91));
    const StateUpdate update{{}, {2, 6}, false, sent - Milliseconds(300)};
    const std::string bytes = EncodeChanges(update, sent - Milliseconds(400), sent);
    const BootTime requested_at(std::chrono::seconds(50));
    CPPUNIT_ASSERT(
        DecodeChanges(bytes, requested_at, requested_at + Milliseconds(410)).value().confirmed ==
        requested_at + Milliseconds(100));
    CPPUNIT_ASSERT(
        DecodeChanges(bytes, requested_at, requested_at + Milliseconds(20)).value().confirmed ==
        requested_at + Milliseconds(20 - 300));
  }

  // Guards against an overflow by which a damaged age becomes a proof, as in
  // MalformedMessagesDoNotCrash.
  void OutOfRangeProofAgeIsDiscarded() {
    PeerStatus status = Status("n2", 1);
    status.proof_age_ms = std::numeric_limits<std::int64_t>::max();
    status.echo_at_ns = 5;
    const std::string bytes = EncodePeerStatus(status, At(0));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{-1}, DecodePeerStatus(bytes, At(0)).value().proof_age_ms);
  }

  // Guards against counts of a damaged message that would stop all requests to an upstream.
  void RateLimitsOutOfRangeAreDiscarded() {
    PeerStatus status = Status("n2", 1);
    const StatedRate stated{RequestRate::FromPerSecond(3).value(), At(0)};
    status.rate_limits = {{1, stated, -1},
                          {2, stated, std::numeric_limits<double>::infinity()},
                          {3, stated, std::numeric_limits<double>::quiet_NaN()},
                          {4, stated, 1}};
    const auto decoded = DecodePeerStatus(EncodePeerStatus(status, At(0)), At(0)).value();
    CPPUNIT_ASSERT(decoded.rate_limits == std::vector{status.rate_limits.back()});
  }

  // Guards against a paused node that takes the end of a limit for older than its beginning.
  void HeldMessagesKeepOrderOfStatements() {
    PeerStatus status = Status("n2", 1);
    status.rate_limits = {{1, StatedRate{RequestRate::FromPerSecond(3).value(), At(1000)}, 0}};
    const std::string limited = EncodePeerStatus(status, At(1100));
    status.rate_limits = {{1, StatedRate{RequestRate(), At(2000)}, 0}};
    const std::string ended = EncodePeerStatus(status, At(4000));
    UpstreamRateLimit limit;
    for (const std::string& bytes : {limited, ended}) {
      const auto decoded = DecodePeerStatus(bytes, At(4100)).value();
      limit.OnReport(NodeId("n2"), decoded.rate_limits.front(), At(4100));
    }
    CPPUNIT_ASSERT(!limit.IsLimited());
  }

  // Guards against a quarantine that lasts longer or shorter at a node that reads it from the
  // store.
  void StoredQuarantinesRoundTripThroughEncoding() {
    const std::vector<Quarantine> quarantines{{{12, 13}, 2, false, At(5000)},
                                              {{14}, 1, true, At(9)}};
    const WallTime wall_now{std::chrono::hours(500'000)};
    const std::string text = EncodeQuarantines(quarantines, At(0), wall_now);
    CPPUNIT_ASSERT(DecodeQuarantines(text, At(0), wall_now).value() == quarantines);
    const auto later = DecodeQuarantines(text, At(800'000), wall_now + Milliseconds(1000)).value();
    CPPUNIT_ASSERT(later.front().until == At(804'000));
  }

  void MalformedStoredQuarantinesAreErrors() {
    for (const char* text : {"", "{}", R"({"quarantines":[{}]})",
                             R"({"quarantines":[{"causes":"x","revision":1,"lifted":false}]})"}) {
      CPPUNIT_ASSERT(!DecodeQuarantines(text, At(0), WallTime()));
    }
  }

  void PlanVersionRoundTripsThroughEncoding() {
    GroupPlan plan;
    plan.revision = {3, 17};
    plan.version = {2, 5};
    CPPUNIT_ASSERT(DecodePlan(EncodePlan(plan), plan.revision).value() == plan);
    // No plan is written in an era before it has begun.
    CPPUNIT_ASSERT(!DecodePlan(EncodePlan(plan), {1, 17}));
  }

  // Guards against epochs that fall when programs are upgraded one after the other.
  void PlanOfEarlierProgramIsOrderedByItsRevision() {
    const GroupPlan plan = DecodePlan(R"({"groups":[]})", {1, 17}).value();
    CPPUNIT_ASSERT(plan.version == (PlanVersion{1, 17}));
  }

  // Guards against a restored plan that replaces a newer one, while the last plan is still one of
  // an earlier program: its epochs would be given to other groups.
  void RestoredPlanOfEarlierProgramIsNotTheNewest() {
    boost::asio::io_context io;
    GatewayState state(io, GatewayOptions(), Metrics::Create());
    const auto plan = [](const std::string& epoch) {
      return R"({"groups":[{"group":"g","epoch":)" + epoch +
             R"(,"service":"llm","model":"m","domain":"d","members":["i-1"],"started_ms":[1],)" +
             R"("dissolving":false}]})";
    };
    const std::string key(gateway_keys::kPlan);
    state.ApplyGatewayItem({key, plan("299"), {1, 300}}, ChangeOrigin::kWritten);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.plan.groups.size());
    state.ApplyGatewayItem({key, plan("249"), {2, 250}}, ChangeOrigin::kRestored);
    CPPUNIT_ASSERT_EQUAL(Generation{299}, state.plan.groups.front().epoch);
    CPPUNIT_ASSERT(state.plan.version.Next(2).sequence > 300);
  }

  // Guards against a proof for keys from a restored configuration that is new only to a node that
  // was cut off. The store may have lost a later one, which took a key away.
  void ConfigurationThatWasMissedBeforeRestoreIsNoProof() {
    boost::asio::io_context io;
    GatewayState state(io, GatewayOptions(), Metrics::Create());
    const auto apply = [&](ConfigVersion version, StoreRevision revision, ChangeOrigin origin) {
      GatewayConfig config;
      config.version = version;
      state.ApplyDeploymentChange(config, {"op/config", "{}", revision, 1}, origin);
    };
    apply(5, {1, 10}, ChangeOrigin::kWritten);
    const BootTime before = BootTime() + std::chrono::hours(1);
    state.ConfirmConfiguration(before, Clock::now());
    apply(6, {2, 20}, ChangeOrigin::kRestored);
    state.OnStoreRestored(true, Clock::now());
    state.ConfirmConfiguration(before + Milliseconds(10'000), Clock::now());
    CPPUNIT_ASSERT(state.confirmed == before);
  }

  // Guards against a crash on malformed datagrams of any sender (random damage, fixed seeds).
  void MalformedMessagesDoNotCrash() {
    PeerStatus status = Status("n2", 7);
    status.loads = {{1, 2}, {3, 4}};
    status.crashes = {{{11, 12, {12, 13}, At(80000), At(80100)}},
                      {{16, At(89000)}},
                      {{{12, 13}, 2, true, At(100000)}}};
    const std::string good = EncodePeerStatus(status, Clock::now());
    for (unsigned seed = 1; seed <= 2000; ++seed) {
      std::mt19937 random(seed);
      std::string bytes = good.substr(0, random() % (good.size() + 1));
      for (int i = 0; i < 4 && !bytes.empty(); ++i) {
        bytes[random() % bytes.size()] = static_cast<char>(random());
      }
      [[maybe_unused]] const auto decoded = DecodePeerStatus(bytes, Clock::now());
      [[maybe_unused]] const auto changes = DecodeChanges(bytes, BootTime(), BootTime());
    }
  }

 private:
  static PeerStatus Status(const std::string& node, std::uint64_t sent_at_ns) {
    PeerStatus status;
    status.node = NodeId(node);
    status.sent_at_ns = sent_at_ns;
    return status;
  }

  static TimePoint At(int ms) { return TimePoint(std::chrono::seconds(100)) + Milliseconds(ms); }

  PeerTable table{PeerOptions{NodeId("n1")}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeersTest);

}  // namespace
}  // namespace limpetfall
