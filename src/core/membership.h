#ifndef LIMPETFALL_CORE_MEMBERSHIP_H_
#define LIMPETFALL_CORE_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "core/types.h"
#include "limpetfall/result.h"

namespace limpetfall {

struct MembershipOptions {
  Milliseconds probe_interval{1000};
  Milliseconds probe_timeout{500};  ///< For the direct probe, and again for the indirect ones.
  Milliseconds suspicion{1500};
  Milliseconds dead_retention{60000};  ///< How long a dead node is remembered.
  std::size_t indirect_probes = 3;
};

/** Asks for a probe of `target`; its outcome is reported under the number `probe`. */
struct SendProbe {
  NodeInfo target;
  std::uint64_t probe = 0;

  friend bool operator==(const SendProbe&, const SendProbe&) = default;
};

/** Asks `via` to probe `target` and to report under the number `probe`. */
struct SendIndirectProbe {
  NodeInfo via;
  NodeInfo target;
  std::uint64_t probe = 0;

  friend bool operator==(const SendIndirectProbe&, const SendIndirectProbe&) = default;
};

/** Tells the other nodes what is now known about a node. */
struct AnnounceMember {
  NodeInfo info;
  bool first_hand = true;  ///< Found out here, not learnt from another node.

  friend bool operator==(const AnnounceMember&, const AnnounceMember&) = default;
};

using MembershipAction = std::variant<SendProbe, SendIndirectProbe, AnnounceMember>;
using MembershipActions = std::vector<MembershipAction>;

/** Orders what is known about one node: of two statements, the one with the higher number holds. */
std::uint64_t MemberVersion(const NodeInfo& info);

/**
 * Failure detection between nodes after the SWIM protocol, as a pure state machine.
 *
 * Each interval one probe goes to the next member of a shuffled list. A probe that fails is
 * repeated through other members, and only if these fail too does the member become suspect. A
 * suspect that does not refute with a higher incarnation before a stored deadline is dead. Suspects
 * keep their domains, because most suspicions are refuted; leaving nodes own none and are not given
 * to callers.
 *
 *     for (const auto& action : membership.Tick(now)) std::visit(send, action);
 */
class Membership {
 public:
  static Result<Membership> Create(NodeInfo self, MembershipOptions options, std::mt19937_64 random,
                                   TimePoint now);

  /** Does what is due. A call may be early or late; a late one is not held against other nodes. */
  MembershipActions Tick(TimePoint now);

  /** Returns when `Tick` has something to do next. */
  [[nodiscard]] TimePoint NextTick() const;

  void OnProbeAnswered(std::uint64_t probe);

  /** Starts indirect probes at once instead of at the probe's deadline. */
  MembershipActions OnProbeFailed(std::uint64_t probe, TimePoint now);

  /** Probes a member at once, for example because its connection broke. */
  MembershipActions Probe(const NodeId& node, TimePoint now);

  /** Takes in what another node says about a node, possibly this one. */
  MembershipActions OnUpdate(const NodeInfo& info, TimePoint now);

  /** Announces that this node leaves: others own its domains and callers are not sent to it. */
  MembershipActions SetLeaving(TimePoint now);

  [[nodiscard]] const NodeInfo& self() const { return this->own; }

  /** Returns all known nodes with this one, in order of id. */
  [[nodiscard]] std::vector<NodeInfo> Members() const;

  [[nodiscard]] std::optional<NodeInfo> Find(const NodeId& node) const;

  /** Returns the node that assembles groups in `domain`; nothing when every node leaves. */
  [[nodiscard]] std::optional<NodeId> OwnerOf(const DomainId& domain) const;

  /** Returns addresses for callers: those in `zone` first, suspects last, no leaving nodes. */
  [[nodiscard]] std::vector<std::string> CallerAddresses(const ZoneId& zone) const;

 private:
  struct Member {
    NodeInfo info;
    bool leaving = false;  ///< Stays set while a leaving node is suspect.
    Deadline deadline;     ///< End of suspicion, or of the memory of a dead node.
  };

  struct PendingProbe {
    NodeId target;
    Deadline direct;
    Deadline final;
    bool indirect_sent = false;
  };

  Membership(NodeInfo self, MembershipOptions settings, std::mt19937_64 generator, TimePoint now);

  void ForgivePause(TimePoint now);
  void CheckProbes(TimePoint now, MembershipActions& actions);
  void CheckDeadlines(TimePoint now, MembershipActions& actions);
  void StartProbe(const NodeId& target, TimePoint now, MembershipActions& actions);
  void ProbeDeadMember(MembershipActions& actions);
  void SendIndirect(std::uint64_t number, PendingProbe& probe, MembershipActions& actions);
  std::optional<NodeId> NextTarget();
  [[nodiscard]] std::optional<NodeId> Successor() const;
  void Suspect(const NodeId& node, TimePoint now, MembershipActions& actions);
  void Refute(const NodeInfo& heard, MembershipActions& actions);
  void Store(const NodeInfo& info, TimePoint now);
  std::size_t RandomIndex(std::size_t size);
  [[nodiscard]] bool IsLive(const NodeId& node) const;

  NodeInfo own;
  MembershipOptions options;
  std::mt19937_64 random;
  std::map<NodeId, Member> members;  ///< Without this node.
  std::vector<NodeId> probe_order;
  std::size_t next_in_order = 0;
  std::map<std::uint64_t, PendingProbe> probes;
  std::uint64_t last_probe = 0;
  std::uint64_t rounds = 0;
  TimePoint next_probe;
  TimePoint last_tick;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_MEMBERSHIP_H_
