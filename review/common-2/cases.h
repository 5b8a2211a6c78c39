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

}
