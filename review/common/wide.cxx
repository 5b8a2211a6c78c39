// The leader is killed while one runner has many runs, and more than 500 of
// them end before the next leader reads the runner's lists. The runner returns
// 500 ends at a time; the next leader takes the tasks of the others for tasks
// that have not run.
#include "cases.h"

namespace review {

int
PlayWide(Record& record)
{
  constexpr int kRunners = 6;
  constexpr int kTasks = 600;
  constexpr int kRounds = 6;
  History history;
  Deployment deployment(record, 3, 2);
  std::vector<std::unique_ptr<Runner>> runners;
  for (int i = 0; i < kRunners; ++i) {
    Runner::Options options;
    options.id = "i-" + std::to_string(1000 + i);
    options.address = deployment.Ip(100 + i) + ":8080";
    options.service = "huvo11a";
    options.zone = deployment.Nodes()[static_cast<std::size_t>(i % 3)].zone;
    options.labels = { "a", "r1-0" };
    runners.push_back(
      std::make_unique<Runner>(options, deployment.Control(), record, history));
  }
  deployment.StartAll();
  for (auto& runner : runners) {
    if (!runner->Boot()) {
      return kCouldNotRun;
    }
  }
  const Json manifest = ManifestOf(
    7,
    Json::array({ RouteOf("r-wrr6x73", "/lohu930/", "huvo11a", 1, 3) }),
    Json::array({ ServiceOf("huvo11a") }));
  if (!deployment.Put(manifest)) {
    return kCouldNotRun;
  }
  SleepMs(6000);
  Clients clients(record, deployment.Frontends());
  for (int round = 0; round < kRounds; ++round) {
    // 30 jobs of 20 tasks, each of 0.04 cores for 1.6 s: they fit on a runner.
    const std::size_t before = history.All().size();
    const double first = record.Ms();
    const Json spec = { { "ms", 1600 }, { "cpu", 40 } };
    for (int job = 0; job < kTasks / 20; ++job) {
      clients.Submit("/lohu930/",
                     "wide",
                     { { "spec", spec.dump() },
                       { "steps",
                         Json::array({ { { "count", 20 },
                                         { "cpu", 40 },
                                         { "mem_mb", 64 },
                                         { "estimate_ms", 1600 } } }) } });
      SleepMs(10);
    }
    const double until = first + 1300;
    while (history.All().size() < before + kTasks && record.Ms() < until) {
      SleepMs(1);
    }
    record.Line("round " + std::to_string(round) + ": " +
                std::to_string(history.All().size() - before) +
                " runs have started in " + std::to_string(record.Ms() - first) +
                " ms");
    if (!IsCalm()) {
      SleepMs(first + 1500 - record.Ms());
      Node* leader = deployment.Leader();
      if (leader == nullptr) {
        return kCouldNotRun;
      }
      deployment.Kill(*leader);
      SleepMs(500);
      deployment.Start(*leader, false);
    }
    SleepMs(8000);
  }
  clients.Wait();
  std::map<std::string, std::vector<RunPtr>> byTask;
  std::size_t done = 0;
  for (const RunPtr& run : history.All()) {
    byTask[run->task].push_back(run);
    done += run->how == "done" ? 1 : 0;
  }
  // TWICE: a start after a run has ended `done`, if that end is taken note of
  // then or later, and the runner's lease has not lapsed between the two.
  int again = 0;
  for (const auto& [task, runs] : byTask) {
    for (const RunPtr& a : runs) {
      for (const RunPtr& b : runs) {
        const bool isNoted = a->how == "done" && a->notedAt >= 0 && !a->lapsed;
        if (a == b || !isNoted || b->start < a->end) {
          continue;
        }
        if (++again <= 20) {
          std::ostringstream text;
          text << "TWICE " << task << ": run " << a->number << " on "
               << a->runner << " done at " << a->end << ", noted at "
               << a->notedAt << "; run " << b->number << " started on "
               << b->runner << " at " << b->start;
          record.Say(text.str());
        }
      }
    }
  }
  record.Say(std::to_string(byTask.size()) + " tasks, " + std::to_string(done) +
             " runs done, " + std::to_string(again) +
             " starts after a noted end");
  if (byTask.size() < kTasks) {
    return kCouldNotRun;
  }
  return again > 0 ? kBroken : kHeld;
}

}
