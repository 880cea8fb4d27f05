#include "tool/load-command.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <cmath>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

#include "limpetfall/client.h"
#include "tool/arguments.h"

namespace limpetfall {
namespace {

using Json = nlohmann::json;

// Limits that prevent a mistyped plan from running for hours or exhausting the machine's threads.
constexpr double kMaxSeconds = 600;
constexpr double kMaxRequests = 1e6;
constexpr int kMaxThreads = 1024;

// A request that starts later than this waited for a free thread, so the load was not open-loop.
constexpr Milliseconds kLateStartThreshold{20};

// Length of the shared prompt prefixes; longer than the prefix that routing compares.
constexpr std::size_t kPrefixBytes = 320;

double Seconds(Clock::duration duration) { return std::chrono::duration<double>(duration).count(); }

/** The result of one request. Times are in seconds since its planned start. */
struct Outcome {
  std::size_t team = 0;
  bool late_start = false;
  bool succeeded = false;
  int tokens = 0;
  double first_token = -1;
  double total = 0;
  double longest_gap = 0;
  ErrorCode code = ErrorCode::kInternal;
  Verdict verdict = Verdict::kRan;
};

std::string MakePrompt(const Arrival& arrival, std::size_t number) {
  std::string prompt = "Style sheet " + std::to_string(arrival.prefix) + ". ";
  while (prompt.size() < kPrefixBytes) prompt += "Fold along the marked line. ";
  return prompt + "Request " + std::to_string(number);
}

/** One thread of the load run. All threads take arrivals from a shared list. */
class LoadWorker {
 public:
  LoadWorker(const LoadPlan& plan, const std::vector<Arrival>& arrivals,
             std::atomic<std::size_t>& next, TimePoint start, std::size_t number)
      : plan(plan), arrivals(arrivals), next(next), start(start), addresses(plan.addresses) {
    // A client uses its first address while that works. Rotating spreads clients over all
    // addresses.
    const auto first = static_cast<std::ptrdiff_t>(number % this->addresses.size());
    std::rotate(this->addresses.begin(), this->addresses.begin() + first, this->addresses.end());
  }

  std::vector<Outcome> Run() {
    for (std::size_t i = this->next++; i < this->arrivals.size(); i = this->next++) {
      const auto offset = std::chrono::duration<double>(this->arrivals[i].start_offset_seconds);
      const TimePoint planned_start =
          this->start + std::chrono::duration_cast<Clock::duration>(offset);
      std::this_thread::sleep_until(planned_start);
      this->outcomes.push_back(this->Send(i, planned_start));
    }
    return std::move(this->outcomes);
  }

 private:
  Client& ClientForTeam(std::size_t team) {
    auto& client = this->clients[team];
    if (!client) {
      ClientOptions options;
      options.addresses = this->addresses;
      options.branch = this->plan.branch;
      options.team = this->plan.teams[team].first;
      options.discover_addresses = false;
      options.max_attempts = this->plan.attempts;
      client = std::move(Client::Create(std::move(options))).value();
    }
    return *client;
  }

  Outcome Send(std::size_t number, TimePoint planned_start) {
    const Arrival& arrival = this->arrivals[number];
    CompletionCall call;
    call.model = this->plan.model;
    call.prompt = MakePrompt(arrival, number);
    call.max_tokens = this->plan.max_tokens;
    call.seed = number;
    call.deadline = planned_start + this->plan.request_timeout;

    Outcome outcome;
    outcome.team = arrival.team;
    outcome.late_start = Clock::now() > planned_start + kLateStartThreshold;
    TimePoint last = planned_start;
    const auto completion = this->ClientForTeam(arrival.team).Complete(call, [&](std::string_view) {
      const TimePoint now = Clock::now();
      if (outcome.first_token < 0) {
        outcome.first_token = Seconds(now - planned_start);
      } else {
        outcome.longest_gap = std::max(outcome.longest_gap, Seconds(now - last));
      }
      last = now;
      ++outcome.tokens;
    });
    outcome.total = Seconds(Clock::now() - planned_start);
    outcome.succeeded = completion.has_value();
    if (!completion) {
      outcome.code = completion.error().code;
      outcome.verdict = completion.error().verdict;
    }
    return outcome;
  }

  const LoadPlan& plan;
  const std::vector<Arrival>& arrivals;
  std::atomic<std::size_t>& next;
  TimePoint start;
  std::vector<std::string> addresses;
  std::map<std::size_t, std::unique_ptr<Client>> clients;
  std::vector<Outcome> outcomes;
};

Json Percentiles(std::vector<double> values) {
  if (values.empty()) return nullptr;
  std::sort(values.begin(), values.end());
  const auto percentile = [&](double fraction) {
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::lround(fraction * last))];
  };
  return {{"p50", percentile(0.5)},
          {"p95", percentile(0.95)},
          {"p99", percentile(0.99)},
          {"max", values.back()}};
}

Json BuildTeamReport(const LoadPlan& plan, const std::vector<Outcome>& outcomes,
                     double total_succeeded) {
  Json teams = Json::object();
  for (std::size_t team = 0; team < plan.teams.size(); ++team) {
    double sent = 0;
    double succeeded = 0;
    for (const Outcome& outcome : outcomes) {
      if (outcome.team != team) continue;
      ++sent;
      if (outcome.succeeded) ++succeeded;
    }
    teams[plan.teams[team].first] = {
        {"sent", sent},
        {"useful", succeeded},
        {"share", total_succeeded > 0 ? succeeded / total_succeeded : 0}};
  }
  return teams;
}

Json BuildReport(const LoadPlan& plan, const std::vector<Outcome>& outcomes, double elapsed) {
  std::vector<double> first_tokens;
  std::vector<double> totals;
  std::vector<double> gaps;
  std::vector<double> refusals;
  std::map<std::string, int> by_verdict;
  std::map<std::string, int> by_code;
  double succeeded = 0;
  double tokens = 0;
  int late_starts = 0;
  for (const Outcome& outcome : outcomes) {
    late_starts += outcome.late_start ? 1 : 0;
    if (!outcome.succeeded) {
      ++by_verdict[std::string(ToString(outcome.verdict))];
      ++by_code[std::string(ToString(outcome.code))];
      if (outcome.verdict == Verdict::kNotRun) refusals.push_back(outcome.total);
      continue;
    }
    ++succeeded;
    tokens += outcome.tokens;
    totals.push_back(outcome.total);
    if (outcome.first_token >= 0) first_tokens.push_back(outcome.first_token);
    if (outcome.tokens > 1) gaps.push_back(outcome.longest_gap);
  }
  return {{"seed", plan.seed},
          {"planned_requests_per_second", plan.requests_per_second},
          {"elapsed_seconds", elapsed},
          {"sent", outcomes.size()},
          {"late_starts", late_starts},
          {"useful", succeeded},
          {"useful_per_second", succeeded / elapsed},
          {"tokens_per_second", tokens / elapsed},
          {"first_token_seconds", Percentiles(std::move(first_tokens))},
          {"longest_gap_seconds", Percentiles(std::move(gaps))},
          {"total_seconds", Percentiles(std::move(totals))},
          {"refusal_seconds", Percentiles(std::move(refusals))},
          {"teams", BuildTeamReport(plan, outcomes, succeeded)},
          {"errors_by_verdict", by_verdict},
          {"errors_by_code", by_code}};
}

Result<void> CheckPlan(const LoadPlan& plan) {
  const auto invalid = [](const std::string& text) {
    return NotRun(ErrorCode::kInvalidArgument, text);
  };
  if (plan.seconds <= 0 || plan.seconds > kMaxSeconds) {
    return invalid("the duration must be above 0 and at most 600 s");
  }
  if (plan.requests_per_second <= 0 || plan.requests_per_second * plan.seconds > kMaxRequests) {
    return invalid("the rate must be above 0, and a run sends at most 1000000 requests");
  }
  if (plan.threads < 1 || plan.threads > kMaxThreads) {
    return invalid("the number of threads must be between 1 and 1024");
  }
  if (plan.prefixes < 1 || plan.max_tokens < 1 || plan.attempts < 1) {
    return invalid("prefixes, tokens and attempts must be at least 1");
  }
  if (plan.teams.empty()) return invalid("the mix contains no team");
  if (plan.addresses.empty()) return invalid("the plan contains no entry address");
  return success();
}

}  // namespace

Result<std::vector<std::pair<std::string, double>>> ParseTeamMix(const std::string& text) {
  std::vector<std::pair<std::string, double>> teams;
  std::size_t start = 0;
  while (start <= text.size()) {
    const std::size_t end = std::min(text.find(',', start), text.size());
    const std::string entry = text.substr(start, end - start);
    const std::size_t equals = std::min(entry.find('='), entry.size());
    double share = 1;
    if (equals < entry.size()) {
      const char* last = entry.data() + entry.size();
      const auto [stop, error] = std::from_chars(entry.data() + equals + 1, last, share);
      if (error != std::errc() || stop != last || !(share > 0)) {
        return NotRun(ErrorCode::kInvalidArgument,
                      "\"" + entry + "\" does not have a share above 0");
      }
    }
    if (equals == 0) {
      return NotRun(ErrorCode::kInvalidArgument, "\"" + entry + "\" names no team");
    }
    teams.emplace_back(entry.substr(0, equals), share);
    start = end + 1;
  }
  return teams;
}

std::vector<Arrival> PlanArrivals(const LoadPlan& plan) {
  std::mt19937_64 random(plan.seed);
  std::exponential_distribution<double> gap(plan.requests_per_second);
  std::vector<double> shares;
  for (const auto& [name, share] : plan.teams) shares.push_back(share);
  std::discrete_distribution<std::size_t> team(shares.begin(), shares.end());
  std::uniform_int_distribution<int> prefix(0, plan.prefixes - 1);
  std::vector<Arrival> arrivals;
  for (double at = gap(random); at < plan.seconds; at += gap(random)) {
    arrivals.push_back({at, team(random), prefix(random)});
  }
  return arrivals;
}

Result<std::string> RunLoad(const LoadPlan& plan) {
  BOOST_OUTCOME_TRY(CheckPlan(plan));
  const std::vector<Arrival> arrivals = PlanArrivals(plan);
  std::atomic<std::size_t> next{0};
  const TimePoint start = Clock::now() + Milliseconds(50);
  std::vector<std::vector<Outcome>> outcomes_by_thread(static_cast<std::size_t>(plan.threads));
  {
    std::vector<std::jthread> threads;
    threads.reserve(outcomes_by_thread.size());
    for (std::size_t i = 0; i < outcomes_by_thread.size(); ++i) {
      threads.emplace_back(
          [&, i] { outcomes_by_thread[i] = LoadWorker(plan, arrivals, next, start, i).Run(); });
    }
  }
  const double elapsed = std::max(plan.seconds, Seconds(Clock::now() - start));
  std::vector<Outcome> outcomes;
  for (const auto& results : outcomes_by_thread)
    outcomes.insert(outcomes.end(), results.begin(), results.end());
  return BuildReport(plan, outcomes, elapsed).dump(2);
}

ExitCode Load(const Arguments& arguments) {
  TCLAP::CmdLine line(
      "Sends completions at a fixed rate, independent of earlier completions, and prints a "
      "report as JSON.",
      ' ', std::string(kVersion));
  TCLAP::MultiArg<std::string> addresses("a", "address", "entry address; may be repeated", true,
                                         "IP:port", line);
  TCLAP::ValueArg<std::string> branch("b", "branch", "branch", true, "", "BRANCH", line);
  TCLAP::ValueArg<std::string> model("m", "model", "model", true, "", "MODEL", line);
  TCLAP::ValueArg<std::string> teams("t", "teams", "teams and their shares of the requests", true,
                                     "", "NAME=SHARE,...", line);
  LoadPlan plan;
  TCLAP::ValueArg<double> rate("r", "rate", "requests per second", false, plan.requests_per_second,
                               "N", line);
  TCLAP::ValueArg<double> seconds("s", "seconds", "duration, at most 600", false, plan.seconds, "N",
                                  line);
  TCLAP::ValueArg<int> threads("j", "threads", "maximum number of concurrent requests", false,
                               plan.threads, "N", line);
  TCLAP::ValueArg<int> tokens("n", "max-tokens", "maximum number of tokens per completion", false,
                              plan.max_tokens, "N", line);
  TCLAP::ValueArg<int> prefixes("p", "prefixes", "number of distinct prompt prefixes", false,
                                plan.prefixes, "N", line);
  TCLAP::ValueArg<std::int64_t> deadline("d", "deadline-ms", "timeout of each request", false,
                                         plan.request_timeout.count(), "MS", line);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of the arrivals", false, plan.seed, "N",
                                      line);
  TCLAP::ValueArg<int> attempts("", "attempts", "maximum attempts per request", false,
                                plan.attempts, "N", line);
  if (auto done = ParseArguments(line, "load", arguments)) return *done;

  const auto mix = ParseTeamMix(teams.getValue());
  if (!mix) {
    std::cerr << "limpetctl load: " << mix.error().message << "\n";
    return ExitCode::kUsage;
  }
  plan.addresses = addresses.getValue();
  plan.branch = branch.getValue();
  plan.model = model.getValue();
  plan.teams = mix.value();
  plan.requests_per_second = rate.getValue();
  plan.seconds = seconds.getValue();
  plan.threads = threads.getValue();
  plan.max_tokens = tokens.getValue();
  plan.prefixes = prefixes.getValue();
  plan.request_timeout = Milliseconds(deadline.getValue());
  plan.seed = seed.getValue();
  plan.attempts = attempts.getValue();
  const auto report = RunLoad(plan);
  if (!report) {
    std::cerr << "limpetctl load: " << report.error().message << "\n";
    return ExitCode::kUsage;
  }
  std::cout << report.value() << "\n";
  return ExitCode::kSuccess;
}

}  // namespace limpetfall
