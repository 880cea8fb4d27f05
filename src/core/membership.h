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
  Milliseconds probe_timeout{500};     ///< Of the direct probe, and again of the indirect probes.
  Milliseconds suspicion{1500};        ///< Time for a suspect to refute before it is dead.
  Milliseconds dead_retention{60000};  ///< How long the entry of a dead node is kept.
  std::size_t indirect_probes = 3;
};

/** Requests a probe of `target`. Its result is reported with the probe number `probe`. */
struct SendProbe {
  NodeInfo target;
  std::uint64_t probe = 0;

  friend bool operator==(const SendProbe&, const SendProbe&) = default;
};

/** Requests a probe of `target` through `via`. Its result is reported with the number `probe`. */
struct SendIndirectProbe {
  NodeInfo via;
  NodeInfo target;
  std::uint64_t probe = 0;

  friend bool operator==(const SendIndirectProbe&, const SendIndirectProbe&) = default;
};

/** Requests that the state of a node is sent to the other nodes. */
struct AnnounceMember {
  NodeInfo info;
  bool first_hand = true;  ///< Detected by this node, not received from another.

  friend bool operator==(const AnnounceMember&, const AnnounceMember&) = default;
};

using MembershipAction = std::variant<SendProbe, SendIndirectProbe, AnnounceMember>;
using MembershipActions = std::vector<MembershipAction>;

/** Returns the version of a node's state; of two states of one node, the higher one is valid. */
std::uint64_t MemberVersion(const NodeInfo& info);

/**
 * Failure detection between nodes based on the SWIM protocol, as a state machine without I/O.
 *
 * In each interval, the next member of a shuffled list is probed. If the probe fails, it is
 * repeated through other members. If these probes fail too, the member becomes suspect. A suspect
 * is dead if it does not refute with a higher incarnation before its deadline. Suspects keep their
 * domains, because most suspicions are refuted. Leaving nodes own no domains and are not listed to
 * callers.
 *
 *     for (const auto& action : membership.Tick(now)) std::visit(send, action);
 */
class Membership {
 public:
  static Result<Membership> Create(NodeInfo self, MembershipOptions options, std::mt19937_64 random,
                                   TimePoint now);

  /** Performs the actions that are due. A late call does not count as a failure of other nodes. */
  MembershipActions Tick(TimePoint now);

  /** Returns the time at which the next action of `Tick` is due. */
  [[nodiscard]] TimePoint NextTick() const;

  void OnProbeAnswered(std::uint64_t probe);

  /** Starts indirect probes immediately instead of at the probe's deadline. */
  MembershipActions OnProbeFailed(std::uint64_t probe, TimePoint now);

  /** Probes a member immediately, for example because its connection broke. */
  MembershipActions Probe(const NodeId& node, TimePoint now);

  /** Applies the state of a node, possibly this one, as received from another node. */
  MembershipActions OnUpdate(const NodeInfo& info, TimePoint now);

  /** Announces that this node leaves. Other nodes take its domains and do not list it to callers.
   */
  MembershipActions SetLeaving(TimePoint now);

  [[nodiscard]] const NodeInfo& self() const { return this->own; }

  /** Returns all known nodes, including this one, sorted by id. */
  [[nodiscard]] std::vector<NodeInfo> Members() const;

  [[nodiscard]] std::optional<NodeInfo> Find(const NodeId& node) const;

  /** Returns the node that assembles groups in `domain`, or nothing if every node is leaving. */
  [[nodiscard]] std::optional<NodeId> OwnerOf(const DomainId& domain) const;

  /** Returns the addresses for callers: `zone` first, suspects last, leaving nodes excluded. */
  [[nodiscard]] std::vector<std::string> CallerAddresses(const ZoneId& zone) const;

 private:
  struct Member {
    NodeInfo info;
    bool leaving = false;  ///< Stays set while a leaving node is suspect.
    Deadline deadline;     ///< End of the suspicion, or of the retention of a dead node.
  };

  struct PendingProbe {
    NodeId target;
    Deadline direct;  ///< End of the direct probe; indirect probes are sent then.
    Deadline final;   ///< End of the indirect probes; the target is suspected then.
    bool indirect_sent = false;
  };

  Membership(NodeInfo self, MembershipOptions settings, std::mt19937_64 generator, TimePoint now);

  void ExtendDeadlinesAfterPause(TimePoint now);
  void CheckProbes(TimePoint now, MembershipActions& actions);
  void CheckDeadlines(TimePoint now, MembershipActions& actions);
  void StartProbe(const NodeId& target, TimePoint now, MembershipActions& actions);
  void ProbeDeadMember(MembershipActions& actions);
  void SendIndirect(std::uint64_t number, PendingProbe& probe, MembershipActions& actions);
  std::optional<NodeId> NextTarget();
  [[nodiscard]] std::optional<NodeId> Successor() const;
  void Suspect(const NodeId& node, TimePoint now, MembershipActions& actions);
  void Refute(const NodeInfo& claim, MembershipActions& actions);
  void Store(const NodeInfo& info, TimePoint now);
  std::size_t RandomIndex(std::size_t size);
  [[nodiscard]] bool IsNotDead(const NodeId& node) const;

  NodeInfo own;
  MembershipOptions options;
  std::mt19937_64 random;
  std::map<NodeId, Member> members;  ///< Excludes this node.
  std::vector<NodeId> probe_order;
  std::size_t next_probe_index = 0;
  std::map<std::uint64_t, PendingProbe> probes;
  std::uint64_t last_probe = 0;
  std::uint64_t rounds = 0;
  TimePoint next_probe;
  TimePoint last_tick;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_CORE_MEMBERSHIP_H_
