#include "gateway/peers.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <random>

namespace limpetfall {
namespace {

class PeersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeersTest);
  CPPUNIT_TEST(ProofCountsFromTheEchoedTime);
  CPPUNIT_TEST(WithoutAnEchoThereIsNoProof);
  CPPUNIT_TEST(OlderMessageIsDropped);
  CPPUNIT_TEST(RestartedNodeIsHeardAgain);
  CPPUNIT_TEST(SilentNodeIsNotAlive);
  CPPUNIT_TEST(NodeThatStandsByHasMoreTime);
  CPPUNIT_TEST(MessageSurvivesTheWire);
  CPPUNIT_TEST(ChangesSurviveTheWire);
  CPPUNIT_TEST(TimeThatAnAnswerWasHeldIsNoAge);
  CPPUNIT_TEST(ImpossibleProofIsNone);
  CPPUNIT_TEST(MalformedMessagesAreErrors);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a proof of currency that is younger than it can be (message held up in the
  // network).
  void ProofCountsFromTheEchoedTime() {
    PeerStatus status = Status("n2", 1);
    status.proof_age_ms = 300;
    status.echo_at_ns = 5'000'000'000;
    CPPUNIT_ASSERT(this->table.OnStatus(status, At(0)));
    CPPUNIT_ASSERT(this->table.MostRecentlyConfirmed(At(0))->confirmed ==
                   BootTime(std::chrono::milliseconds(4700)));
  }

  // Guards against trust in the clock of another node.
  void WithoutAnEchoThereIsNoProof() {
    PeerStatus status = Status("n2", 1);
    status.proof_age_ms = 0;
    this->table.OnStatus(status, At(0));
    CPPUNIT_ASSERT(this->table.MostRecentlyConfirmed(At(0)) == nullptr);
  }

  // Guards against a node that becomes ready again by a datagram that was overtaken.
  void OlderMessageIsDropped() {
    PeerStatus status = Status("n2", 2);
    status.ready = false;
    this->table.OnStatus(status, At(0));
    CPPUNIT_ASSERT(!this->table.OnStatus(Status("n2", 1), At(10)));
    CPPUNIT_ASSERT(!this->table.Find(NodeId("n2"))->status.ready);
  }

  // Guards against a node that stays unheard because its clock started anew.
  void RestartedNodeIsHeardAgain() {
    this->table.OnStatus(Status("n2", 100), At(0));
    CPPUNIT_ASSERT(this->table.OnStatus(Status("n2", 1), At(5000)));
  }

  // Guards against callers that are sent to a dead node.
  void SilentNodeIsNotAlive() {
    this->table.OnStatus(Status("n2", 1), At(0));
    this->table.OnStatus(Status("n2", 2), At(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->table.LivePeers(At(1300)).size());
    CPPUNIT_ASSERT(this->table.LivePeers(At(1800)).empty());
  }

  // Guards against standby nodes that flap because they send less often.
  void NodeThatStandsByHasMoreTime() {
    this->table.OnStatus(Status("n2", 1), At(0));
    this->table.OnStatus(Status("n2", 2), At(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->table.LivePeers(At(3100)).size());
  }

  // Guards against fields that are lost or swapped between nodes.
  void MessageSurvivesTheWire() {
    PeerStatus status = Status("n2", 7);
    status.zone = ZoneId("ennis");
    status.ready = true;
    status.capacity = 0.5;
    status.echo_at_ns = 8;
    status.proof_age_ms = 9;
    status.mirror_revision = 10;
    status.loads = {{1, 2}, {3, 4}};
    status.suspended = {5, 6};
    status.demands = {{ModelName("folds"), 12.5}};
    CPPUNIT_ASSERT(DecodePeerStatus(EncodePeerStatus(status)).value() == status);
  }

  // Guards against changes that another node reads differently.
  void ChangesSurviveTheWire() {
    StateUpdate update{{{"a", std::string("x\0y", 3), 4, 2}, {"b", std::nullopt, 5, 0}},
                       6,
                       true,
                       BootTime(std::chrono::seconds(90))};
    const BootTime sent(std::chrono::seconds(91));
    const std::string bytes = EncodeChanges(update, sent, sent);
    const BootTime asked(std::chrono::seconds(50));
    const auto decoded = DecodeChanges(bytes, asked, asked + Milliseconds(5));
    update.confirmed = BootTime(std::chrono::seconds(49));
    CPPUNIT_ASSERT(decoded.value() == update);
  }

  // Guards against a proof that is taken for older, by the time that the other node waited for a
  // change, and against one that is taken for newer than the time between question and answer.
  void TimeThatAnAnswerWasHeldIsNoAge() {
    const BootTime sent(std::chrono::seconds(91));
    const StateUpdate update{{}, 6, false, sent - Milliseconds(300)};
    const std::string bytes = EncodeChanges(update, sent - Milliseconds(400), sent);
    const BootTime asked(std::chrono::seconds(50));
    CPPUNIT_ASSERT(DecodeChanges(bytes, asked, asked + Milliseconds(410)).value().confirmed ==
                   asked + Milliseconds(100));
    CPPUNIT_ASSERT(DecodeChanges(bytes, asked, asked + Milliseconds(20)).value().confirmed ==
                   asked + Milliseconds(20 - 300));
  }

  // Guards against an overflow that turns a damaged age into a proof (found by the seeded damage).
  void ImpossibleProofIsNone() {
    PeerStatus status = Status("n2", 1);
    status.proof_age_ms = std::numeric_limits<std::int64_t>::max();
    status.echo_at_ns = 5;
    CPPUNIT_ASSERT_EQUAL(std::int64_t{-1},
                         DecodePeerStatus(EncodePeerStatus(status)).value().proof_age_ms);
  }

  // Guards against a crash on datagrams of anyone (seeded damage).
  void MalformedMessagesAreErrors() {
    PeerStatus status = Status("n2", 7);
    status.loads = {{1, 2}, {3, 4}};
    const std::string good = EncodePeerStatus(status);
    for (unsigned seed = 1; seed <= 2000; ++seed) {
      std::mt19937 random(seed);
      std::string bytes = good.substr(0, random() % (good.size() + 1));
      for (int i = 0; i < 4 && !bytes.empty(); ++i) {
        bytes[random() % bytes.size()] = static_cast<char>(random());
      }
      [[maybe_unused]] const auto decoded = DecodePeerStatus(bytes);
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
