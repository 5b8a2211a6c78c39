// The leader is killed while tasks fail. An end `failed` that the next leader
// is the first to read is acknowledged and not counted as an attempt.
#include "cases.h"

namespace review {

int
PlayAttempts(Record& record)
{
  constexpr int kRunners = 6;
  constexpr unsigned kMaxAttempts = 2;
  constexpr double kTrafficMs = 50000;
  History history;
  Deployment deployment(record, 3, 2);
  std::vector<std::unique_ptr<Runner>> runners;
  for (int i = 0; i < kRunners; ++i) {
    Runner::Options options;
    options.id = "i-" + std::to_string(1000 + i);
    options.address = deployment.Ip(100 + i) + ":8080";
    options.service = "huvo11a";
    options.zone = deployment.Nodes()[static_cast<std::size_t>(i % 3)].zone;
    options.labels = { "a", "r1-" + std::to_string(i % 4) };
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
    Json::array(
      { RouteOf("r-wrr6x73", "/lohu930/", "huvo11a", 1, kMaxAttempts),
        RouteOf("r-73hh2b9", "/pule252/", "huvo11a", 0, kMaxAttempts) }),
    Json::array({ ServiceOf("huvo11a") }));
  if (!deployment.Put(manifest)) {
    return kCouldNotRun;
  }
  SleepMs(6000);
  Clients clients(record, deployment.Frontends());
  const double start = record.Ms();
  double nextGood = start;
  double nextBad = start;
  double nextKill = start + 5000;
  Node* killed = nullptr;
  double backAt = 0;
  int kills = 0;
  const auto submit =
    [&](const char* prefix, const char* group, int ms, int cpu, bool fails) {
      const Json spec = { { "ms", ms }, { "cpu", cpu }, { "fail", fails } };
      clients.Submit(prefix,
                     group,
                     { { "spec", spec.dump() },
                       { "steps",
                         Json::array({ { { "count", 1 },
                                         { "cpu", cpu },
                                         { "mem_mb", 64 },
                                         { "estimate_ms", ms } } }) } });
    };
  while (record.Ms() < start + kTrafficMs) {
    const double now = record.Ms();
    if (now >= nextGood) {
      nextGood += 1000.0 / 16;
      submit("/pule252/", "good", 1500, 2000, false);
    }
    if (now >= nextBad) {
      nextBad += 1000.0 / 0.8; // 5 of 100 jobs
      submit("/lohu930/", "hopeless", 900, 2000, true);
    }
    if (!IsCalm() && killed == nullptr && now >= nextKill) {
      killed = deployment.Leader();
      if (killed == nullptr) {
        return kCouldNotRun;
      }
      deployment.Kill(*killed);
      backAt = now + 500;
      nextKill = now + 7000;
      ++kills;
    }
    if (killed != nullptr && now >= backAt) {
      deployment.Start(*killed, false);
      killed = nullptr;
    }
    SleepMs(1);
  }
  clients.Wait();
  SleepMs(8000);
  // BUDGET: a start after max_attempts runs of the task have ended `failed`, if
  // these ends are taken note of then or later.
  std::map<std::string, std::vector<RunPtr>> byTask;
  for (const RunPtr& run : history.All()) {
    byTask[run->task].push_back(run);
  }
  int over = 0;
  std::size_t hopeless = 0;
  for (const auto& [task, runs] : byTask) {
    hopeless += runs.front()->fails ? 1 : 0;
    for (const RunPtr& run : runs) {
      unsigned failedBefore = 0;
      for (const RunPtr& earlier : runs) {
        const bool counts = earlier->how == "failed" &&
                            earlier->end < run->start &&
                            earlier->notedAt >= 0 && !earlier->lapsed;
        failedBefore += counts ? 1 : 0;
      }
      if (failedBefore >= kMaxAttempts) {
        ++over;
        std::ostringstream text;
        text << "BUDGET " << task << ": run " << run->number << " started on "
             << run->runner << " at " << run->start << " after " << failedBefore
             << " runs that ended failed and were noted";
        record.Say(text.str());
      }
    }
  }
  int accepted = 0;
  for (const JobPtr& job : clients.Jobs()) {
    accepted += job->acceptedAt >= 0 ? 1 : 0;
  }
  record.Say(std::to_string(kills) + " kills, " + std::to_string(accepted) +
             " jobs accepted, " + std::to_string(hopeless) +
             " hopeless tasks, " + std::to_string(over) +
             " starts beyond max_attempts");
  if (hopeless < 15) {
    return kCouldNotRun;
  }
  return over > 0 ? kBroken : kHeld;
}

}
