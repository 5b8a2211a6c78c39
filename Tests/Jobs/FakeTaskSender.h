#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Jobs/TaskSender.h"

namespace almondspoke::testing {

/** \brief Workers that follow a script and count every start.
 *
 * mStarts is the ground truth: it counts what a worker began to run. */
class FakeTaskSender : public TaskSender
{
public:
  enum class Behaviour
  {
    /** Runs the task and answers 200 at once. */
    Answer,
    /** Runs the task; the test ends it. */
    Hold,
    /** Runs the task and answers 500. */
    FailTask,
    /** Refuses with proof that it did not run. */
    Refuse,
    /** Cannot be reached. */
    NotSent,
    /** Runs the task and dies. */
    Crash
  };

  struct Held
  {
    TaskAttempt mAttempt;
    Done mDone;
  };

  void Start(TaskAttempt aAttempt, Done aDone) override
  {
    ++mSends[aAttempt.mWorker];
    mLastAttempt = aAttempt;
    if (mBeforeStart) {
      mBeforeStart(aAttempt);
    }
    const auto behaviour = mBehaviourOf.find(aAttempt.mWorker);
    switch (behaviour == mBehaviourOf.end() ? mBehaviour : behaviour->second) {
      case Behaviour::Answer:
        ++mStarts[aAttempt.mAttemptId];
        aDone(Answered(200, "done " + aAttempt.mBody));
        return;
      case Behaviour::Hold:
        ++mStarts[aAttempt.mAttemptId];
        mRunning.insert(aAttempt.mAttemptId);
        mHeld.push_back({ std::move(aAttempt), std::move(aDone) });
        return;
      case Behaviour::FailTask:
        ++mStarts[aAttempt.mAttemptId];
        aDone(Answered(500, "no"));
        return;
      case Behaviour::Refuse:
        aDone(Ended(TaskOutcome::Kind::RefusedNotRun));
        return;
      case Behaviour::NotSent:
        aDone(Ended(TaskOutcome::Kind::NotSent));
        return;
      case Behaviour::Crash:
        ++mStarts[aAttempt.mAttemptId];
        aDone(Ended(TaskOutcome::Kind::MayHaveRun));
        return;
    }
  }

  void Stop(const EndpointName& /*aWorker*/,
            const std::string& aAttemptId) override
  {
    mActions.push_back("stop " + aAttemptId);
    End(aAttemptId, Ended(TaskOutcome::Kind::MayHaveRun));
  }

  void Checkpoint(const EndpointName& /*aWorker*/,
                  const std::string& aAttemptId) override
  {
    mActions.push_back("checkpoint " + aAttemptId);
  }

  void Throttle(const EndpointName& /*aWorker*/,
                const std::string& aAttemptId) override
  {
    mActions.push_back("throttle " + aAttemptId);
  }

  /** Ends one held attempt; the outcome may come again later. */
  void End(const std::string& aAttemptId, const TaskOutcome& aOutcome)
  {
    const auto held =
      std::find_if(mHeld.begin(), mHeld.end(), [&](const Held& aHeld) {
        return aHeld.mAttempt.mAttemptId == aAttemptId;
      });
    if (held == mHeld.end()) {
      return;
    }
    const Done done = held->mDone;
    mEnded[aAttemptId] = done;
    mRunning.erase(aAttemptId);
    // Last, since the id may be that of the held attempt itself.
    mHeld.erase(held);
    done(aOutcome);
  }

  /** Answers every held attempt, the last one first. */
  void AnswerAll()
  {
    while (!mHeld.empty()) {
      const TaskAttempt attempt = mHeld.back().mAttempt;
      End(attempt.mAttemptId, Answered(200, "done " + attempt.mBody));
    }
  }

  int MaxStarts() const
  {
    int most = 0;
    for (const auto& [attempt, starts] : mStarts) {
      most = std::max(most, starts);
    }
    return most;
  }

  static TaskOutcome Answered(int aStatus, std::string aBody)
  {
    TaskOutcome outcome;
    outcome.mKind = TaskOutcome::Kind::Answered;
    outcome.mStatus = aStatus;
    outcome.mBody = std::move(aBody);
    return outcome;
  }

  static TaskOutcome Ended(TaskOutcome::Kind aKind)
  {
    TaskOutcome outcome;
    outcome.mKind = aKind;
    return outcome;
  }

  Behaviour mBehaviour = Behaviour::Answer;
  std::map<EndpointName, Behaviour> mBehaviourOf;
  std::function<void(const TaskAttempt&)> mBeforeStart;
  std::map<std::string, int> mStarts;
  std::map<EndpointName, int> mSends;
  std::set<std::string> mRunning;
  std::deque<Held> mHeld;
  std::map<std::string, Done> mEnded;
  std::vector<std::string> mActions;
  TaskAttempt mLastAttempt;
};

}
