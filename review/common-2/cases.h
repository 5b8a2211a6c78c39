// The cases of the second review.
#pragma once

#include "stage.h"

namespace review {

inline Json
Routes()
{
  return { Stage::Route("r-best", "/best/", 0, 2),
           Stage::Route("r-kept", "/kept/", 1, 2) };
}

inline Json
Step(int aCount, int aEstimateMs)
{
  return { { "count", aCount },
           { "cpu", 1000 },
           { "mem_mb", 64 },
           { "estimate_ms", aEstimateMs } };
}

inline Json
StepAfter(int aCount, int aEstimateMs, int aAfter)
{
  Json step = Step(aCount, aEstimateMs);
  step["after"] = { aAfter };
  return step;
}

/** A job of two steps that need not be kept; the leader is killed while the
 * second step runs. */
inline bool
PlaySteps(Stage& aStage, bool aHasTrouble)
{
  const std::string id = "5c0e7a21d94b36f8";
  aStage.Expect(id,
                "0=200/done;1=4000/done",
                Json::array({ Step(1, 200), StepAfter(1, 4000, 0) }),
                false,
                2);
  const int leader = aStage.Leader();
  if (leader < 0) {
    return false;
  }
  Answer answer;
  std::thread client([&] {
    answer = aStage.Submit(
      static_cast<std::size_t>(leader + 1) % 4, "/best/", id, 20000);
  });
  const bool runs = aStage.AwaitRun(id + ".0.1.0", 1, 10000);
  Sleep(500);
  if (runs && aHasTrouble) {
    aStage.Core(static_cast<std::size_t>(leader)).Terminate();
    Sleep(300);
    aStage.Core(static_cast<std::size_t>(leader)).Start();
  }
  client.join();
  return runs && answer.mStatus == 200;
}

/** A stored job whose only task always fails; the leader is killed while the
 * last run that is allowed is at work. Each runner also works on a long task of
 * another job, as it does on an ordinary day, so that its lease does not lapse.
 */
inline bool
PlayBudget(Stage& aStage, bool aHasTrouble)
{
  const std::string longId = "5c0e7a21d94b36fa";
  const std::string id = "5c0e7a21d94b36f9";
  Json everywhere = Step(static_cast<int>(aStage.Runners()), 8000);
  everywhere["anti_affinity"] = 1;
  aStage.Expect(longId, "0=8000/done", Json::array({ everywhere }), true, 2);
  aStage.Expect(id, "0=250/failed", Json::array({ Step(1, 250) }), true, 2);
  const int leader = aStage.Leader();
  if (leader < 0) {
    return false;
  }
  const std::size_t zone = static_cast<std::size_t>(leader + 1) % 4;
  const Answer longAccepted = aStage.Submit(zone, "/kept/", longId, 3000);
  bool runs = true;
  for (std::size_t index = 0; index < aStage.Runners(); ++index) {
    runs = runs &&
           aStage.AwaitRun(longId + ".0.0." + std::to_string(index), 1, 3000);
  }
  const Answer accepted = aStage.Submit(zone, "/kept/", id, 3000);
  runs = runs && aStage.AwaitRun(id + ".0.0.0", 2, 10000);
  if (runs && aHasTrouble) {
    Sleep(30);
    aStage.Core(static_cast<std::size_t>(leader)).Kill();
    Sleep(3500);
    aStage.Core(static_cast<std::size_t>(leader)).Start();
  }
  const auto isShown = [&](const std::string& aId, const char* aState) {
    for (int tried = 0; tried < 30; ++tried) {
      const Answer state = aStage.Ask(zone, "GET", "/kept/", aId, 3000);
      if (state.mBody.find(aState) != std::string::npos) {
        return true;
      }
      Sleep(500);
    }
    return false;
  };
  return runs && longAccepted.mStatus == 200 && accepted.mStatus == 200 &&
         isShown(id, "failed") && isShown(longId, "completed");
}

/** The last runners of the list are of kind b, the others of kind a. */
inline void
SetKinds(Stage& aStage, std::size_t aOfKindB)
{
  for (std::size_t runner = 0; runner < aStage.Runners(); ++runner) {
    const bool isOfKindB = runner + aOfKindB >= aStage.Runners();
    aStage.Runner(runner).SetKind(isOfKindB ? "b" : "a");
  }
}

/** The only runner with a label crashes for good; a stored job that needs the
 * label is accepted and cannot begin. It has to be counted as pending. */
inline bool
PlayPending(Stage& aStage, bool aHasTrouble)
{
  const std::string id = "5c0e7a21d94b36fb";
  Json step = Step(1, 300);
  step["requirements"] = "b";
  aStage.Expect(id, "0=300/done", Json::array({ step }), true, 2);
  if (aHasTrouble) {
    aStage.Runner(aStage.Runners() - 1).Crash();
  }
  const Answer accepted = aStage.Submit(0, "/kept/", id, 3000);
  if (accepted.mStatus != 200) {
    return false;
  }
  // visible_ms + 2 s, and some more.
  Sleep(3000 + 2000 + 500);
  bool isCounted = true;
  for (std::size_t zone = 0; zone < Stage::kZones; ++zone) {
    const std::int64_t sentMs = aStage.Seen().Now();
    const Answer answer = aStage.Ask(zone, "GET", "/kept/", "", 3000);
    const Json body = Json::parse(answer.mBody, nullptr, false);
    if (answer.mStatus != 200 || body.count("pending") == 0) {
      return false;
    }
    Ledger& seen = aStage.Seen();
    const std::lock_guard<std::mutex> lock(seen.Mutex());
    const bool hasBegun = seen.Runs().count(id + ".0.0.0") != 0;
    const int waiting =
      !hasBegun && sentMs > seen.Jobs()[id].mAcceptedMs + 5000 ? 1 : 0;
    if (2 * body["pending"].get<int>() < waiting) {
      seen.Break("MIXED",
                 "a job that was accepted 5 s before and has not begun, and " +
                   answer.mBody);
      isCounted = false;
    }
  }
  return isCounted;
}

/** Two runners have a label and work on a long task each, beside which they
 * have most of their room. A job that can never be done fails on both. Then a
 * job comes that needs the label. */
inline bool
PlayStarve(Stage& aStage, bool aHasTrouble)
{
  constexpr std::int64_t kFinishMs = 14000;
  const std::string longId = "5c0e7a21d94b36fc";
  const std::string poisonId = "5c0e7a21d94b36fd";
  const std::string id = "5c0e7a21d94b36fe";
  Json longStep = Step(2, 30000);
  longStep["requirements"] = "b";
  longStep["anti_affinity"] = 1;
  Json step = Step(4, 200);
  step["requirements"] = "b";
  aStage.Expect(longId, "0=30000/done", Json::array({ longStep }), true, 2);
  aStage.Expect(poisonId, "0=200/failed", Json::array({ step }), true, 2);
  aStage.Expect(id, "0=200/done", Json::array({ step }), true, 2);
  bool accepted = aStage.Submit(0, "/kept/", longId, 3000).mStatus == 200;
  accepted = accepted && aStage.AwaitRun(longId + ".0.0.0", 1, 3000) &&
             aStage.AwaitRun(longId + ".0.0.1", 1, 3000);
  // One message in 20 of the queue is one that can never be done.
  for (int number = 0; number < 19 && accepted; ++number) {
    char other[17];
    std::snprintf(other, sizeof other, "5c0e7a21d94b%04x", number);
    aStage.Expect(other, "0=60/done", Json::array({ Step(2, 60) }), true, 2);
    accepted = aStage.Submit(1, "/kept/", other, 3000).mStatus == 200;
    Sleep(50);
  }
  if (aHasTrouble) {
    accepted =
      accepted && aStage.Submit(2, "/kept/", poisonId, 3000).mStatus == 200;
    Sleep(1500);
  }
  accepted = accepted && aStage.Submit(3, "/kept/", id, 3000).mStatus == 200;
  if (!accepted) {
    return false;
  }
  // The traffic ends here.
  Sleep(kFinishMs);
  Ledger& seen = aStage.Seen();
  const std::string first = id + ".0.0.0";
  bool hasBegun = false;
  for (int waited = 0; waited < 3100 && !hasBegun; waited += 20) {
    {
      const std::lock_guard<std::mutex> lock(seen.Mutex());
      hasBegun = seen.Runs().count(first) != 0;
    }
    Sleep(20);
  }
  const std::lock_guard<std::mutex> lock(seen.Mutex());
  if (!hasBegun) {
    seen.Break("LOST",
               id + " has had nothing running for 3 s, from finish_s after the "
                    "end of the traffic on; the runners with its label have "
                    "30000 of 32000 thousandths of a core free");
  }
  return hasBegun;
}

/** The process on one seed is killed while the installation starts for the
 * first time, and is back 1 s later. Is anything served then? */
inline bool
PlayFirst(Stage& aStage)
{
  bool isServed = false;
  for (std::size_t zone = 0; zone < Stage::kZones; ++zone) {
    const std::string id = "5c0e7a21d94b370" + std::to_string(zone);
    aStage.Expect(id, "0=60/done", Json::array({ Step(2, 60) }), false, 2);
    isServed =
      aStage.Submit(zone, "/best/", id, 3000).mStatus == 200 || isServed;
  }
  Ledger& seen = aStage.Seen();
  const std::lock_guard<std::mutex> lock(seen.Mutex());
  if (!isServed) {
    seen.Break("Fault",
               "no request is served, and no manifest is accepted, " +
                 std::to_string(seen.Now() / 1000) +
                 " s after the first start, with all machines up");
  }
  return isServed;
}

/** Stored jobs with a task that always fails and one that is stopped with the
 * job, beside short jobs. Answers of the runners overtake each other. */
inline bool
PlayOvertaken(Stage& aStage, bool aHasTrouble)
{
  for (std::size_t runner = 0; runner < aStage.Runners(); ++runner) {
    aStage.Runner(runner).SetMaxAnswerDelay(aHasTrouble ? 20 : 0);
  }
  std::atomic<bool> isOver{ false };
  std::vector<std::thread> others;
  for (int client = 0; client < 8; ++client) {
    others.emplace_back([&, client] {
      for (int number = 0; !isOver; ++number) {
        char id[17];
        std::snprintf(id, sizeof id, "%08x%08x", 0xa0 + client, number);
        aStage.Expect(id, "0=60/done", Json::array({ Step(4, 60) }), true, 2);
        aStage.Submit(static_cast<std::size_t>(client) % 4, "/kept/", id, 3000);
        Sleep(100);
      }
    });
  }
  bool accepted = true;
  std::vector<std::string> hopeless;
  for (int number = 0; number < 6; ++number) {
    char id[17];
    std::snprintf(id, sizeof id, "%08x%08x", 0xb0, number);
    aStage.Expect(id,
                  "0=150/failed;1=6000/done",
                  Json::array({ Step(1, 150), Step(2, 6000) }),
                  true,
                  2);
    accepted =
      aStage.Submit(static_cast<std::size_t>(number) % 4, "/kept/", id, 3000)
          .mStatus == 200 &&
      accepted;
    hopeless.emplace_back(id);
    Sleep(500);
  }
  Sleep(4000);
  isOver = true;
  for (std::thread& other : others) {
    other.join();
  }
  for (std::size_t number = 0; number < hopeless.size(); ++number) {
    aStage.Ask(number % 4, "GET", "/kept/", hopeless[number], 3000);
  }
  return accepted;
}

/** A job that need not be kept is cancelled, the leader is killed, and the
 * request that handed the job in arrives once more. */
inline bool
PlayCancelled(Stage& aStage, bool aHasTrouble)
{
  const std::string id = "5c0e7a21d94b3710";
  aStage.Expect(id, "0=6000/done", Json::array({ Step(2, 6000) }), false, 2);
  const int leader = aStage.Leader();
  if (leader < 0) {
    return false;
  }
  const auto core = static_cast<std::size_t>(leader);
  Answer answer;
  std::thread client(
    [&] { answer = aStage.Submit((core + 1) % 4, "/best/", id, 15000); });
  const bool runs = aStage.AwaitRun(id + ".0.0.0", 1, 5000);
  Sleep(300);
  const Answer cancelled =
    aStage.Ask((core + 2) % 4, "DELETE", "/best/", id, 3000);
  {
    Ledger& seen = aStage.Seen();
    const std::lock_guard<std::mutex> lock(seen.Mutex());
    seen.Jobs()[id].mCancelAckedMs = seen.Now();
  }
  client.join();
  if (aHasTrouble) {
    aStage.Core(core).Kill();
    Sleep(500);
    aStage.Core(core).Start();
    // contact_ms after the last event, and some more.
    Sleep(4000);
  } else {
    Sleep(4500);
  }
  const Answer again = aStage.Submit((core + 3) % 4, "/best/", id, 8000);
  return runs && cancelled.mStatus == 200 && answer.mStatus == 200 &&
         again.mStatus != 0;
}

/** As PlayOvertaken(), with jobs that are cancelled while they run. */
inline bool
PlayWithdrawn(Stage& aStage, bool aHasTrouble)
{
  for (std::size_t runner = 0; runner < aStage.Runners(); ++runner) {
    aStage.Runner(runner).SetMaxAnswerDelay(aHasTrouble ? 20 : 0);
  }
  std::atomic<bool> isOver{ false };
  std::vector<std::thread> others;
  for (int client = 0; client < 8; ++client) {
    others.emplace_back([&, client] {
      for (int number = 0; !isOver; ++number) {
        char id[17];
        std::snprintf(id, sizeof id, "%08x%08x", 0xa0 + client, number);
        aStage.Expect(id, "0=60/done", Json::array({ Step(4, 60) }), true, 2);
        aStage.Submit(static_cast<std::size_t>(client) % 4, "/kept/", id, 3000);
        Sleep(100);
      }
    });
  }
  std::vector<std::thread> clients;
  std::vector<std::string> withdrawn;
  for (int number = 0; number < 12; ++number) {
    char id[17];
    std::snprintf(id, sizeof id, "%08x%08x", 0xc0, number);
    aStage.Expect(id, "0=8000/done", Json::array({ Step(3, 8000) }), false, 2);
    withdrawn.emplace_back(id);
    const auto zone = static_cast<std::size_t>(number) % 4;
    clients.emplace_back([&aStage, job = std::string(id), zone] {
      aStage.Submit(zone, "/best/", job, 20000);
    });
    aStage.AwaitRun(std::string(id) + ".0.0.0", 1, 3000);
    Sleep(300);
    const Answer answer =
      aStage.Ask((zone + 1) % 4, "DELETE", "/best/", id, 3000);
    Ledger& seen = aStage.Seen();
    const std::lock_guard<std::mutex> lock(seen.Mutex());
    if (answer.mStatus == 200) {
      seen.Jobs()[id].mCancelAckedMs = seen.Now();
    }
  }
  for (std::thread& client : clients) {
    client.join();
  }
  Sleep(4000);
  isOver = true;
  for (std::thread& other : others) {
    other.join();
  }
  Ledger& seen = aStage.Seen();
  const std::lock_guard<std::mutex> lock(seen.Mutex());
  for (const auto& [task, runs] : seen.Runs()) {
    const JobSeen& job = seen.Jobs()[Ledger::JobOf(task)];
    // cancel_ms and stop_timeout_ms.
    const std::int64_t until = job.mCancelAckedMs + kCancelMs + 50;
    for (const RunSeen& run : runs) {
      const bool runsOn = job.mCancelAckedMs >= 0 && run.mStartMs <= until &&
                          (run.mEndMs < 0 || run.mEndMs > until);
      if (runsOn) {
        seen.Break("UNASKED",
                   task + " run " + std::to_string(run.mNumber) +
                     " runs on after its cancelling");
      }
    }
  }
  return true;
}

}
