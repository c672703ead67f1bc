// Replays of requests to engines of different speed, in virtual time.
//
// Load pattern: hosts send short prompts, and long ones that share 6,300 tokens
// with others of their adapter, to runners of which a quarter has half the
// speed of the others.
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <queue>
#include <random>

#include "rosemaryhook/runner_choice.h"
#include "rosemaryhook/testing/model_engines.h"

namespace rosemaryhook {
namespace {

constexpr int kRunners = 24;
constexpr int kHosts = 16;
constexpr int kAdapters = 24;
constexpr int kHoldersOfAdapter = 8;
constexpr double kShared = 6'300;
constexpr double kLongObjectiveMs = 800;

Time At(double ms) {
  return Time(std::chrono::seconds(100)) +
         Duration(static_cast<int64_t>(ms * 1e3));
}

struct Replay {
  // What takes part.
  bool has_chains = true;
  bool has_models = true;
  // Conditions.
  double slow_speed = 0.55;
  double fast_speed = 1.2;
  double short_per_s = 240;
  double long_per_s = 12;
  int prefixes_of_adapter = 2;
  bool is_one_hot = false;  // all long prompts share one prefix
  int64_t capacity = 174'609;
  double lost_share = 0;         // of the messages to owners about sends
  double owners_lost_s = 0;      // when all owners lose what they know
  double restart_s = 0;          // when all runners restart
  int hosts_with_old_facts = 0;  // whose probes are not answered
  double seconds = 60;
  unsigned seed = 7;

  // Results.
  std::vector<double> short_ms;
  std::vector<double> long_ms;
  std::vector<double> error_ms;      // of the estimates for long prompts
  std::vector<double> cached_error;  // expected - cached tokens of long ones
  std::map<std::string, int> long_at;
  int64_t tokens_read = 0;

  double SlowShare() const {
    double slow = 0;
    for (int i = 0; i < kRunners / 4; ++i) {
      const auto at = long_at.find("i" + std::to_string(i));
      slow += at == long_at.end() ? 0 : at->second;
    }
    return slow / static_cast<double>(long_ms.size());
  }
};

double Quantile(std::vector<double> values, double q) {
  BOOST_REQUIRE(!values.empty());
  std::sort(values.begin(), values.end());
  return values[static_cast<size_t>(q *
                                    static_cast<double>(values.size() - 1))];
}

struct Pending {
  double sent_ms;
  double first_ms;
  std::string runner;
  double unread;  // tokens
  std::optional<FirstTokenObservation> observation;
  int host;
  double expected_ms;
  bool operator<(const Pending& other) const {
    return first_ms > other.first_ms;  // the earliest is on top
  }
};

class Fleet {
 public:
  explicit Fleet(Replay* replay)
      : replay_(replay), views_(kHosts), random_(replay->seed) {
    for (int i = 0; i < kRunners; ++i) {
      const std::string id = "i" + std::to_string(i);
      engines_[id].speed =
          i < kRunners / 4 ? replay->slow_speed : replay->fast_speed;
      engines_[id].capacity = replay->capacity;
      ResetOwner(id, 0);
      for (RunnerViews& views : views_) {
        RunnerView& view = views[id];
        view.entry.id = id;
        view.entry.service = "chat";
        view.entry.zone = i % 2 == 0 ? "z1" : "z2";
        view.entry.slots = 12;
        view.entry.models = {"m"};
        for (int k = 0; k < kHoldersOfAdapter; ++k) {
          const int adapter = (i + k * 5) % kAdapters;
          view.held["m/a" + std::to_string(adapter)] = 1;
        }
      }
    }
  }

  void Run() {
    const double per_s = replay_->short_per_s + replay_->long_per_s;
    std::exponential_distribution<double> gap(per_s / 1000);
    double refresh = 0;
    for (double now = 0; now < replay_->seconds * 1000; now += gap(random_)) {
      CompleteFirstTokens(now);
      Fail(now);
      if (now >= refresh) {
        refresh = now + 1000;
        Broadcast(now);
      }
      const bool is_long = Draw() < replay_->long_per_s / per_s;
      Send(is_long, static_cast<int>(Draw() * kHosts), now);
    }
    for (const auto& [id, engine] : engines_) {
      replay_->tokens_read += engine.tokens_read;
    }
  }

 private:
  double Draw() { return std::uniform_real_distribution<double>()(random_); }

  void ResetOwner(const std::string& id, double now) {
    kept_[id] = std::make_unique<KeptPrompts>();
    kept_[id]->capacity_tokens = replay_->capacity;
    kept_[id]->began = At(now);
  }

  void Fail(double now) {
    if (replay_->owners_lost_s > 0 && now > replay_->owners_lost_s * 1000) {
      replay_->owners_lost_s = 0;
      for (auto& [id, engine] : engines_) {
        ResetOwner(id, now);
      }
    }
    if (replay_->restart_s > 0 && now > replay_->restart_s * 1000) {
      replay_->restart_s = 0;
      for (auto& [id, engine] : engines_) {
        engine.kept.clear();
        ResetOwner(id, now);
        for (RunnerViews& views : views_) {
          views[id].sent_prompts = SentPrompts();
        }
      }
    }
  }

  RunnerLoad LoadOf(const std::string& id, double now) {
    auto& running = engines_[id].running;
    running.erase(running.begin(), running.upper_bound(now));
    return {static_cast<int>(running.size()), unread_[id]};
  }

  void Broadcast(double now) {
    for (auto& [id, engine] : engines_) {
      for (RunnerViews& views : views_) {
        views[id].others = LoadOf(id, now);
      }
    }
  }

  void CompleteFirstTokens(double now) {
    while (!pending_.empty() && pending_.top().first_ms <= now) {
      Pending done = pending_.top();
      pending_.pop();
      unread_[done.runner] -= done.unread;
      const double observed_ms = done.first_ms - done.sent_ms;
      RecordFirstToken(done.expected_ms, observed_ms,
                       &views_[done.host][done.runner].first_token_latency);
      if (done.observation) {
        done.observation->at = At(done.first_ms);
        done.observation->observed_ms = observed_ms;
        RecordObservation(*done.observation, &observed_[done.runner]);
      }
      if (replay_->has_models && now >= fit_due_[done.runner]) {
        fit_due_[done.runner] = now + 500;
        Fit(done.runner, now);
      }
    }
  }

  std::vector<RunnerModel> Models() const {
    std::vector<RunnerModel> models;
    for (const auto& [id, model] : models_) {
      models.push_back(model);
    }
    return models;
  }

  void Fit(const std::string& runner, double now) {
    models_[runner] =
        FitModel(observed_[runner], MedianModel(Models()), At(now));
  }

  PromptPrefix MakePrefix(bool is_long, int adapter, const std::string& own) {
    const int number =
        replay_->is_one_hot
            ? 0
            : static_cast<int>(Draw() * replay_->prefixes_of_adapter);
    PromptPrefix prefix;
    const std::string scope = "m/a" + std::to_string(adapter);
    const std::string shared = (is_long ? "p" : "s") + std::to_string(number);
    prefix.key = scope + " " + shared;
    prefix.tokens = is_long ? kShared : 200;
    if (replay_->has_chains && is_long) {
      ExtendChain(scope, shared, prefix.tokens, &prefix.chain);
      ExtendChain(scope, own, 2'890, &prefix.chain);
    }
    return prefix;
  }

  void Probe(const std::vector<std::string>& targets,
             double now,
             RunnerViews* views,
             PromptPrefix* prefix) {
    for (const std::string& id : targets) {
      RunnerView& view = views->at(id);
      view.others = LoadOf(id, now);
      const auto cached = ExpectedCached(*kept_[id], prefix->chain,
                                         view.others.running, At(now));
      if (cached && !prefix->chain.empty()) {
        prefix->cached[id] = *cached;
      }
    }
    const RunnerModel service = MedianModel(Models());
    for (auto& [id, view] : *views) {
      const auto model = models_.find(id);
      if (model != models_.end()) {
        view.model = SettleModel(model->second, service);
      }
    }
  }

  std::string Choose(int host,
                     double now,
                     const std::string& id,
                     WantedRunner* wanted) {
    RunnerViews& views = views_[host];
    const RunnerChoice choice = ChooseRunner(views, *wanted, At(now));
    BOOST_REQUIRE(choice.runner != nullptr);
    if (choice.holders.size() < 2 || host < replay_->hosts_with_old_facts) {
      return choice.runner->entry.id;
    }
    const auto targets = ProbeTargets(choice.holders, *wanted, id);
    Probe(targets, now, &views, &wanted->prefix);
    return LeastDelayed(views, targets, *wanted, At(now));
  }

  void Send(bool is_long, int host, double now) {
    const std::string id = std::to_string(++requests_);
    const int adapter = replay_->is_one_hot && is_long
                            ? 0
                            : static_cast<int>(Draw() * Draw() * kAdapters);
    WantedRunner wanted;
    wanted.service = "chat";
    wanted.zone = host % 2 == 0 ? "z1" : "z2";
    wanted.model = "m";
    wanted.adapter = "m/a" + std::to_string(adapter);
    wanted.has_engine = true;
    wanted.prompt_tokens = is_long ? 9'190 : 646;
    wanted.prefix = MakePrefix(is_long, adapter, id);
    const std::string runner = Choose(host, now, id, &wanted);
    RunnerView& view = views_[host][runner];
    const double cached = CachedTokens(view, wanted.prefix, At(now));
    const double left = TokensToRead(wanted.prompt_tokens, cached);
    const double expected = EstimateFirstTokenMs(view, left);
    const RunnerLoad load = LoadOf(runner, now);
    // The engines take the chains also where the hosts do not.
    const PromptChain chain = EngineChain(wanted, id);
    ModelEngine& engine = engines_[runner];
    const int64_t read_before = engine.tokens_read;
    const double first = engine.Send(
        chain, static_cast<int64_t>(wanted.prompt_tokens), 120, now);
    const double read = static_cast<double>(engine.tokens_read - read_before);
    RecordPrefix(wanted.prefix, At(now), &view);
    if (Draw() >= replay_->lost_share) {
      RecordKept({wanted.prefix.chain, wanted.adapter, wanted.prompt_tokens,
                  load.running, At(now)},
                 At(now), kept_[runner].get());
    }
    unread_[runner] += left;
    pending_.push({now, first, runner, left,
                   MakeObservation(left, load.prompt_tokens, load.running,
                                   view.entry.slots),
                   host, expected});
    if (now < 5'000) {
      return;  // nothing is cached or learned yet
    }
    (is_long ? replay_->long_ms : replay_->short_ms).push_back(first - now);
    if (is_long) {
      ++replay_->long_at[runner];
      replay_->error_ms.push_back(std::abs(first - now - expected));
      replay_->cached_error.push_back(cached - (wanted.prompt_tokens - read));
    }
  }

  static PromptChain EngineChain(const WantedRunner& wanted,
                                 const std::string& own) {
    PromptChain chain;
    ExtendChain(wanted.adapter, wanted.prefix.key, wanted.prefix.tokens,
                &chain);
    ExtendChain(wanted.adapter, own,
                wanted.prompt_tokens - wanted.prefix.tokens, &chain);
    return chain;
  }

  Replay* replay_;
  std::vector<RunnerViews> views_;  // by host
  std::map<std::string, ModelEngine> engines_;
  std::map<std::string, std::unique_ptr<KeptPrompts>> kept_;
  std::map<std::string, ObservedRunner> observed_;
  std::map<std::string, RunnerModel> models_;
  std::map<std::string, double> fit_due_;
  std::map<std::string, double> unread_;
  std::priority_queue<Pending> pending_;
  std::mt19937 random_;
  int requests_ = 0;
};

Replay Run(Replay replay, const std::string& name) {
  Fleet(&replay).Run();
  BOOST_TEST_MESSAGE(
      name << ": short p50 " << Quantile(replay.short_ms, 0.5) << " p90 "
           << Quantile(replay.short_ms, 0.9) << ", long p50 "
           << Quantile(replay.long_ms, 0.5) << " p90 "
           << Quantile(replay.long_ms, 0.9) << " at slow " << replay.SlowShare()
           << ", error p50 " << Quantile(replay.error_ms, 0.5) << " p90 "
           << Quantile(replay.error_ms, 0.9) << ", cached tokens error p50 "
           << Quantile(replay.cached_error, 0.5) << " p90 "
           << Quantile(replay.cached_error, 0.9) << ", tokens read "
           << replay.tokens_read);
  return replay;
}

Replay Before() {
  Replay replay;
  replay.has_chains = false;
  replay.has_models = false;
  return replay;
}

BOOST_AUTO_TEST_SUITE(prompt_replay)

// Long prompts wait on slow runners and are read anew where another runner has
// most of them cached.
BOOST_AUTO_TEST_CASE(long_prompts_meet_their_objective_at_the_peak) {
  const Replay before = Run(Before(), "before");
  Replay chains;
  chains.has_models = false;
  Run(chains, "chains");
  Replay models;
  models.has_chains = false;
  Run(models, "models");
  const Replay both = Run(Replay(), "both");
  BOOST_TEST(Quantile(before.long_ms, 0.9) > kLongObjectiveMs);
  BOOST_TEST(Quantile(both.long_ms, 0.9) < kLongObjectiveMs);
  BOOST_TEST(Quantile(both.long_ms, 0.9) < 0.8 * Quantile(before.long_ms, 0.9));
  BOOST_TEST(Quantile(both.short_ms, 0.9) < Quantile(before.short_ms, 0.9));
  BOOST_TEST(Quantile(both.error_ms, 0.5) <
             0.25 * Quantile(before.error_ms, 0.5));
  BOOST_TEST(both.SlowShare() < 0.05);
}

// Runners of equal speed are not told apart by chance.
BOOST_AUTO_TEST_CASE(equal_runners_are_used_equally) {
  Replay before = Before();
  before.slow_speed = before.fast_speed = 1;
  Replay models = before;
  models.has_models = true;
  before = Run(before, "equal before");
  models = Run(models, "equal models");
  BOOST_TEST(Quantile(models.long_ms, 0.9) <
             1.05 * Quantile(before.long_ms, 0.9));
  BOOST_TEST(std::abs(models.SlowShare() - 0.25) < 0.06);
}

// All long prompts share one prefix: the runner that has it is not overloaded
// while others can read it in less time than the wait.
BOOST_AUTO_TEST_CASE(a_hot_prefix_does_not_overload_its_runner) {
  Replay before = Before();
  before.is_one_hot = true;
  before.short_per_s = 150;
  Replay both = before;
  both.has_chains = both.has_models = true;
  before = Run(before, "hot before");
  both = Run(both, "hot both");
  BOOST_TEST(Quantile(both.long_ms, 0.9) < Quantile(before.long_ms, 0.9));
  int most = 0;
  for (const auto& [runner, count] : both.long_at) {
    most = std::max(most, count);
  }
  BOOST_TEST_MESSAGE("most at one " << most << " of " << both.long_ms.size());
  BOOST_TEST(most < 0.5 * static_cast<double>(both.long_ms.size()));
}

// In none of these conditions are long prompts served later than without
// chains and models, and cached tokens are not overestimated much.
BOOST_AUTO_TEST_CASE(wrong_facts_cost_no_more_than_the_saving) {
  struct Case {
    std::string what;
    std::function<void(Replay*)> change;
  };
  const std::vector<Case> cases{
      {"memory for two prompts",
       [](Replay* r) {
         r->capacity = 24'000;
         r->short_per_s = 150;
         r->long_per_s = 6;
       }},
      {"memory for no prompt",
       [](Replay* r) {
         r->capacity = 9'000;
         r->short_per_s = 150;
         r->long_per_s = 6;
       }},
      {"owners lost", [](Replay* r) { r->owners_lost_s = 30; }},
      {"a third of the messages lost", [](Replay* r) { r->lost_share = 0.33; }},
      {"runners restarted", [](Replay* r) { r->restart_s = 30; }},
      {"a quarter of the hosts with old facts",
       [](Replay* r) { r->hosts_with_old_facts = kHosts / 4; }},
  };
  for (const Case& test : cases) {
    Replay before = Before();
    test.change(&before);
    Replay both;
    test.change(&both);
    before = Run(before, test.what + " before");
    both = Run(both, test.what);
    BOOST_TEST(
        Quantile(both.long_ms, 0.9) <= 1.02 * Quantile(before.long_ms, 0.9),
        test.what);
    BOOST_TEST(Quantile(both.cached_error, 0.9) < 0.1 * kShared, test.what);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace rosemaryhook
