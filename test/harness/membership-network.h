#ifndef LIMPETFALL_TEST_HARNESS_MEMBERSHIP_NETWORK_H_
#define LIMPETFALL_TEST_HARNESS_MEMBERSHIP_NETWORK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "core/membership.h"

namespace limpetfall {

/** Simulates a network of membership cores in virtual time, with message loss and stopped nodes. */
class MembershipNetwork {
 public:
  MembershipNetwork(std::size_t size, std::uint64_t seed, MembershipOptions options = {})
      : random(seed) {
    for (std::size_t i = 0; i < size; ++i) {
      NodeInfo self{Name(i), ZoneId("z"), "c" + std::to_string(i), "n" + std::to_string(i), 1, {}};
      this->nodes.push_back(
          {Membership::Create(self, options, std::mt19937_64(seed * 1000 + i), this->now).value()});
    }
    for (Node& node : this->nodes) {
      for (const Node& other : this->nodes) node.core.OnUpdate(other.core.self(), this->now);
    }
  }

  static NodeId Name(std::size_t i) { return NodeId("n" + std::to_string(i)); }

  Membership& core(std::size_t i) { return this->nodes[i].core; }
  [[nodiscard]] TimePoint time() const { return this->now; }

  void SetRunning(std::size_t i, bool running) { this->nodes[i].running = running; }
  void SetLossRate(double fraction) { this->loss_rate = fraction; }

  /** Sets a function of sender and receiver that decides for each message whether to drop it. */
  void SetDropRule(std::function<bool(std::size_t, std::size_t)> is_dropped) {
    this->drop_rule = std::move(is_dropped);
  }

  void Run(Milliseconds duration) {
    const TimePoint end = this->now + duration;
    while (this->now < end) {
      this->now += kStep;
      while (!this->events.empty() && this->events.begin()->first <= this->now) {
        auto event = this->events.extract(this->events.begin());
        event.mapped()();
      }
      for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        if (this->nodes[i].running) this->Perform(i, this->nodes[i].core.Tick(this->now));
      }
    }
  }

  /** Returns the state of node `j` in the view of node `i`; dead if `i` has no entry of `j`. */
  MemberState StateInView(std::size_t i, std::size_t j) {
    const auto info = this->core(i).Find(Name(j));
    return info ? info->state : MemberState::kDead;
  }

  void Perform(std::size_t from, const MembershipActions& actions) {
    for (const MembershipAction& action : actions) {
      std::visit([&](const auto& value) { this->Execute(from, value); }, action);
    }
  }

 private:
  static constexpr Milliseconds kStep{10};

  struct Node {
    Membership core;
    bool running = true;
  };

  static std::size_t Index(const NodeInfo& info) { return std::stoul(info.node.value.substr(1)); }

  /** Runs `deliver` after a delay, unless the message is lost or the receiver does not run. */
  void Send(std::size_t from, std::size_t to, std::function<void()> deliver) {
    const bool lost = std::uniform_real_distribution<>(0, 1)(this->random) < this->loss_rate;
    if (lost || (this->drop_rule && this->drop_rule(from, to))) return;
    const Milliseconds delay(std::uniform_int_distribution<>(1, 20)(this->random));
    this->events.emplace(this->now + delay, [this, to, deliver = std::move(deliver)] {
      if (this->nodes[to].running) deliver();
    });
  }

  void MergeTable(std::size_t from, std::size_t to) {
    for (const NodeInfo& info : this->core(from).Members()) {
      this->Perform(to, this->core(to).OnUpdate(info, this->now));
    }
  }

  void Exchange(std::size_t from, std::size_t to, const std::function<void()>& on_answer) {
    this->Send(from, to, [=, this] {
      this->MergeTable(from, to);
      this->Send(to, from, [=, this] {
        this->MergeTable(to, from);
        on_answer();
      });
    });
  }

  void Execute(std::size_t from, const SendProbe& probe) {
    this->Exchange(from, Index(probe.target), [this, from, number = probe.probe] {
      this->core(from).OnProbeAnswered(number);
    });
  }

  void Execute(std::size_t from, const SendIndirectProbe& probe) {
    const std::size_t via = Index(probe.via);
    const std::size_t target = Index(probe.target);
    this->Send(from, via, [=, this, number = probe.probe] {
      this->Exchange(via, target, [=, this] {
        this->Send(via, from, [=, this] { this->core(from).OnProbeAnswered(number); });
      });
    });
  }

  void Execute(std::size_t from, const AnnounceMember& announcement) {
    for (std::size_t to = 0; to < this->nodes.size(); ++to) {
      if (to == from) continue;
      this->Send(from, to, [this, to, info = announcement.info] {
        this->Perform(to, this->core(to).OnUpdate(info, this->now));
      });
    }
  }

  std::mt19937_64 random;
  TimePoint now{std::chrono::hours(1)};
  std::vector<Node> nodes;
  std::multimap<TimePoint, std::function<void()>> events;
  double loss_rate = 0;
  std::function<bool(std::size_t, std::size_t)> drop_rule;
};

}  // namespace limpetfall

#endif  // LIMPETFALL_TEST_HARNESS_MEMBERSHIP_NETWORK_H_
