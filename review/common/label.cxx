// Jobs that only lost runners may run wait at the head of the leader's queue.
// When there are forty, no other job is started any more.
#include "cases.h"

namespace review {

int
PlayLabel(Record& record)
{
  constexpr int kRunners = 15;
  constexpr int kOfKindB = 2; // a share of 0.133
  constexpr double kTrafficMs = 30000;
  constexpr double kFinishMs = 14000;
  History history;
  Deployment deployment(record, 3, 2);
  std::vector<std::unique_ptr<Runner>> runners;
  for (int i = 0; i < kRunners; ++i) {
    Runner::Options options;
    options.id = "i-" + std::to_string(1000 + i);
    options.address = deployment.Ip(100 + i) + ":8080";
    options.service = "huvo11a";
    options.zone = deployment.Nodes()[static_cast<std::size_t>(i % 3)].zone;
    options.labels = { i < kOfKindB ? "b" : "a",
                       "r1-" + std::to_string(i / 6) };
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
  const double start = record.Ms();
  double nextPlain = start;
  double nextB = start;
  bool crashed = false;
  const auto submit = [&](const char* group, const char* label) {
    const Json spec = { { "ms", 100 }, { "cpu", 1000 } };
    Json step = {
      { "count", 1 }, { "cpu", 1000 }, { "mem_mb", 64 }, { "estimate_ms", 100 }
    };
    if (*label != '\0') {
      step["requirements"] = label;
    }
    clients.Submit(
      "/lohu930/",
      group,
      { { "spec", spec.dump() }, { "steps", Json::array({ step }) } });
  };
  while (record.Ms() < start + kTrafficMs) {
    const double now = record.Ms();
    if (now >= nextPlain) {
      nextPlain += 1000.0 / 10;
      submit("plain", "");
    }
    if (now >= nextB) {
      nextB += 1000.0 / 8;
      submit("kind-b", "b");
    }
    if (!IsCalm() && !crashed && now >= start + 5000) {
      crashed = true;
      for (int i = 0; i < kOfKindB; ++i) {
        runners[static_cast<std::size_t>(i)]->Crash();
      }
    }
    SleepMs(1);
  }
  const double trafficEnd = record.Ms();
  clients.Wait();
  // What holds from finish_s after the end of the traffic on, for 3 s.
  while (record.Ms() < trafficEnd + kFinishMs) {
    SleepMs(10);
  }
  const double from = record.Ms();
  std::uint64_t mostInUse = 0;
  std::uint64_t room = 0;
  for (const auto& runner : runners) {
    room += runner->IsUp() ? runner->Settings().cpu : 0;
  }
  while (record.Ms() < from + 3500) {
    std::uint64_t inUse = 0;
    for (const auto& runner : runners) {
      inUse += runner->UsedCpu();
    }
    mostInUse = std::max(mostInUse, inUse);
    SleepMs(5);
  }
  const double until = record.Ms();
  std::map<std::string, std::vector<RunPtr>> byJob;
  for (const RunPtr& run : history.All()) {
    byJob[run->task.substr(0, run->task.find('.'))].push_back(run);
  }
  std::map<std::string, int> accepted;
  std::map<std::string, int> rejected;
  std::map<std::string, int> done;
  std::map<std::string, int> idle;
  for (const JobPtr& job : clients.Jobs()) {
    if (job->acceptedAt < 0) {
      ++rejected[job->group];
      continue;
    }
    ++accepted[job->group];
    bool isDone = false;
    bool hasRun = false;
    for (const RunPtr& run : byJob[job->id]) {
      isDone = isDone || run->how == "done";
      hasRun = hasRun || run->end < 0 || run->end > from;
    }
    done[job->group] += isDone ? 1 : 0;
    if (!isDone && !hasRun) {
      ++idle[job->group];
      if (job->group == "plain" && idle["plain"] <= 20) {
        const Response state = clients.Call("GET", job->prefix + job->id, 1500);
        std::ostringstream text;
        text << "LOST " << job->id << ": accepted at " << job->acceptedAt
             << ", nothing running from " << from << " to " << until
             << "; shown as " << state.status << ' ' << state.body;
        record.Say(text.str());
      }
    }
  }
  for (const char* group : { "plain", "kind-b" }) {
    record.Say(std::string(group) + ": " + std::to_string(accepted[group]) +
               " accepted, " + std::to_string(rejected[group]) + " rejected, " +
               std::to_string(done[group]) + " done, " +
               std::to_string(idle[group]) + " idle at the end");
  }
  record.Say("in use at most " + std::to_string(mostInUse) + " of " +
             std::to_string(room) + " thousandths of a core");
  if (accepted["plain"] < 40 || done["plain"] < 20) {
    return kCouldNotRun;
  }
  const bool hasRoom = mostInUse * 2 < room;
  return idle["plain"] > 0 && hasRoom ? kBroken : kHeld;
}

}
