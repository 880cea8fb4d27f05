// Measures the cost of membership and of the exchange between nodes. Each run prints one line of
// JSON. support/bench-nodes runs this program for several sizes.

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "base/log.h"
#include "harness/membership-network.h"
#include "node/digest.h"
#include "node/node-service.h"
#include "node/node-table.h"

namespace limpetfall {
namespace {

using std::chrono::seconds;

double ProcessorSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto value = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
  };
  return value(usage.ru_utime) + value(usage.ru_stime);
}

double ResidentKilobytes() {
  std::ifstream statm("/proc/self/statm");
  double total = 0;
  double resident = 0;
  statm >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
}

std::string Ip(std::size_t i) {
  const unsigned process = static_cast<unsigned>(getpid());
  return "127." + std::to_string(1 + process % 250) + "." + std::to_string(i / 250) + "." +
         std::to_string(1 + i % 250);
}

NodeInfo Info(std::size_t i) {
  const std::string number = std::to_string(i);
  return {NodeId("node-" + number), ZoneId("ennis"), "10.0.0.1:" + number, Ip(i) + ":0", 1, {}};
}

/** Returns a summary of about the size of the one for a group of 16 VMs. */
SharedEntry Summary(std::size_t owner, std::size_t group, std::uint64_t version) {
  GroupSummary summary;
  summary.group = GroupId("group-" + std::to_string(owner) + "-" + std::to_string(group));
  summary.generation = 7;
  summary.domain = DomainId("ennis-1");
  summary.zone = ZoneId("ennis");
  summary.model = ModelName("fold-planner");
  summary.version = ModelVersion("2026-03");
  summary.state = GroupState::kServing;
  summary.running = static_cast<int>(version % 9);
  for (int i = 0; i < 16; ++i) {
    const std::string number = std::to_string(i);
    summary.members.push_back({VmId("vm-" + number), "10.0.0.9:80" + number, "instance-" + number});
  }
  return {"group/" + summary.domain.value + "/" + summary.group.value, version,
          Clock::now() + seconds(8), summary};
}

/** Measures the cost of one interval of one node: a probe, its answer and the table comparison. */
void MeasureCore(std::size_t nodes, std::size_t entries) {
  SharedState state;
  for (std::size_t i = 0; i < entries; ++i) {
    SharedEntry entry = Summary(0, i, 1);
    entry.expires += std::chrono::hours(1);
    state.Put(entry, Urgency::kNormal, Clock::now());
  }
  TimePoint now = Clock::now();
  const double memory = ResidentKilobytes();
  Membership core = Membership::Create(Info(0), {}, std::mt19937_64(1), now).value();
  for (std::size_t i = 1; i < nodes; ++i) core.OnUpdate(Info(i), now);
  const double used = ResidentKilobytes() - memory;
  detail::NodeTable table(state, std::move(core));
  constexpr int kRounds = 300;
  const double start = ProcessorSeconds();
  std::uint64_t sum = 0;
  for (int round = 0; round < kRounds; ++round) {
    // Matches the rates of the node loop for one second: ten ticks and four exchanges, of which
    // peers start two.
    for (int tick = 0; tick < 10; ++tick) {
      now += Milliseconds(100);
      for (const auto& action : table.WithMembership([&](Membership& c) { return c.Tick(now); })) {
        if (const auto* probe = std::get_if<SendProbe>(&action)) {
          table.WithMembership([&](Membership& c) { c.OnProbeAnswered(probe->probe); });
        }
      }
      sum += std::uint64_t(table.WithMembership([](const Membership& c) { return c.NextTick(); }) >
                           now);
    }
    for (int exchange = 0; exchange < 4; ++exchange) {
      sum += detail::HashBuckets(table.Digests(Clock::now()), 5)[0];
    }
  }
  const double per_second = (ProcessorSeconds() - start) / kRounds;
  std::cout << nlohmann::json{{"mode", "core"},     {"nodes", nodes},
                              {"entries", entries}, {"core_percent", per_second * 100},
                              {"member_kb", used},  {"check", sum % 2}}
            << std::endl;
}

/** Measures the virtual time from a crash of a node until all others consider it dead. */
void MeasureDetection(std::size_t nodes, int runs, MembershipOptions options) {
  std::vector<double> times;
  for (int run = 0; run < runs; ++run) {
    MembershipNetwork network(nodes, static_cast<std::uint64_t>(run) + 1, options);
    network.Run(seconds(5) + Milliseconds(137 * run % 1000));
    network.SetRunning(0, false);
    const TimePoint start = network.time();
    const auto all_consider_dead = [&] {
      for (std::size_t i = 1; i < nodes; ++i) {
        if (network.StateInView(i, 0) != MemberState::kDead) return false;
      }
      return true;
    };
    while (!all_consider_dead() && network.time() - start < seconds(120))
      network.Run(Milliseconds(20));
    times.push_back(std::chrono::duration<double>(network.time() - start).count());
  }
  std::sort(times.begin(), times.end());
  std::cout << nlohmann::json{{"mode", "detection"},
                              {"nodes", nodes},
                              {"runs", runs},
                              {"interval_ms", options.probe_interval.count()},
                              {"median_s", times[times.size() / 2]},
                              {"p95_s", times[times.size() * 95 / 100]},
                              {"max_s", times.back()}}
            << std::endl;
}

struct BenchNode {
  SharedState state;
  std::unique_ptr<NodeService> service;
};

/**
 * Measures node services that run in this process. Each renews its summaries every 2 s, and changes
 * their content in every `change_every`th renewal.
 */
void MeasureService(std::size_t count, std::size_t entries_per_node, int duration_s,
                    std::uint64_t change_every) {
  std::vector<std::unique_ptr<BenchNode>> nodes;
  const auto metrics = Metrics::Create();
  const double memory = ResidentKilobytes();
  for (std::size_t i = 0; i < count; ++i) {
    auto node = std::make_unique<BenchNode>();
    NodeServiceOptions options;
    options.self = Info(i);
    options.self.incarnation = 0;
    options.random_seed = i;
    if (i > 0) options.seeds = {nodes[0]->service->address()};
    node->service = NodeService::Create(options, node->state, metrics).value();
    nodes.push_back(std::move(node));
  }
  std::uint64_t round = 0;
  const auto publish = [&] {
    const std::uint64_t version = 1 + ++round / std::max<std::uint64_t>(change_every, 1);
    for (std::size_t i = 0; i < count; ++i) {
      for (std::size_t g = 0; g < entries_per_node; ++g) {
        nodes[i]->state.Put(Summary(i, g, version), Urgency::kNormal, Clock::now());
      }
    }
    std::this_thread::sleep_for(seconds(2));
  };
  for (int i = 0; i < 5; ++i) publish();
  const auto total_bytes_sent = [&] {
    double bytes = 0;
    for (const auto& node : nodes)
      bytes += static_cast<double>(node->service->Traffic().bytes_sent);
    return bytes;
  };
  const double sent = total_bytes_sent();
  const double processor = ProcessorSeconds();
  const TimePoint start = Clock::now();
  while (Clock::now() - start < seconds(duration_s)) publish();
  const double elapsed = std::chrono::duration<double>(Clock::now() - start).count();
  const double node_seconds = elapsed * static_cast<double>(count);
  std::size_t held = 0;
  std::size_t alive = 0;
  for (const auto& node : nodes) {
    held += node->state.List("group/", Clock::now()).size();
    for (const NodeInfo& info : node->service->Members())
      alive += info.state == MemberState::kAlive;
  }
  const double pairs = static_cast<double>(count * count);
  std::cout << nlohmann::json{{"mode", "service"},
                              {"nodes", count},
                              {"entries", entries_per_node * count},
                              {"change_every", change_every},
                              {"sent_bytes_s", (total_bytes_sent() - sent) / node_seconds},
                              {"core_percent",
                               (ProcessorSeconds() - processor) / node_seconds * 100},
                              {"kb", (ResidentKilobytes() - memory) / static_cast<double>(count)},
                              {"alive_share", static_cast<double>(alive) / pairs},
                              {"entries_held", static_cast<double>(held) / double(count)}}
            << std::endl;
}

}  // namespace
}  // namespace limpetfall

int main(int argc, char** argv) {
  using namespace limpetfall;  // NOLINT(google-build-using-namespace): this program has one file.
  (void)StartLogging("node-bench", "error");
  const std::string mode = argc > 1 ? argv[1] : "";
  const auto number = [&](int i) { return argc > i ? std::stoul(argv[i]) : 0; };
  if (mode == "core") {
    MeasureCore(number(2), number(3));
  } else if (mode == "detection") {
    MembershipOptions options;
    if (argc > 6) {
      options.probe_interval = Milliseconds(number(4));
      options.probe_timeout = Milliseconds(number(5));
      options.suspicion = Milliseconds(number(6));
    }
    MeasureDetection(number(2), static_cast<int>(number(3)), options);
  } else if (mode == "service") {
    MeasureService(number(2), number(3), static_cast<int>(number(4)), number(5));
  } else {
    std::cerr << "usage: node-bench core NODES ENTRIES | detection NODES RUNS [INTERVAL TIMEOUT "
                 "SUSPICION] |"
                 " service NODES ENTRIES_PER_NODE SECONDS CHANGE_EVERY\n";
    return 2;
  }
  return 0;
}
