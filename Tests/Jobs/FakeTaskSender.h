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

/** \brief A TaskSender that simulates workers with a set behaviour.
 *
 * mStarts counts how often a worker began to run each task, whatever the job
 * runner believes. */
class FakeTaskSender : public TaskSender
{
public:
  enum class Behaviour
  {
    /** Runs the task and answers 200 immediately. */
    Answer,
    /** Runs the task until the test calls End() or AnswerAll(). */
    Hold,
    /** Runs the task and answers 500. */
    FailTask,
    /** Refuses the task, which proves that it did not run. */
    Refuse,
    /** The worker cannot be reached. */
    NotSent,
    /** Starts the task and crashes. */
    Crash
  };

  /** \brief A running task whose end the test determines. */
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

  /** Ends one held attempt. Keeps its callback in mEnded, so that a test can
   * deliver a duplicate outcome. */
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
    // aAttemptId may refer to the element, so erase it last.
    mHeld.erase(held);
    done(aOutcome);
  }

  /** Answers all held attempts, the last one first. */
  void AnswerAll()
  {
    while (!mHeld.empty()) {
      const TaskAttempt attempt = mHeld.back().mAttempt;
      End(attempt.mAttemptId, Answered(200, "done " + attempt.mBody));
    }
  }

  /** Returns the largest number of starts of any task. */
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

  /** Behaviour of the workers that are not in mBehaviourOf. */
  Behaviour mBehaviour = Behaviour::Answer;
  std::map<EndpointName, Behaviour> mBehaviourOf;
  /** Called for each attempt before its worker acts on it. */
  std::function<void(const TaskAttempt&)> mBeforeStart;
  /** Number of starts by attempt ID. */
  std::map<std::string, int> mStarts;
  /** Number of attempts sent by worker, including refused ones. */
  std::map<EndpointName, int> mSends;
  std::set<std::string> mRunning;
  std::deque<Held> mHeld;
  std::map<std::string, Done> mEnded;
  /** Requests to stop, checkpoint or throttle a task, such as "stop KEY#0". */
  std::vector<std::string> mActions;
  TaskAttempt mLastAttempt;
};

}
