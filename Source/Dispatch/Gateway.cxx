#include "Dispatch/Gateway.h"

#include <algorithm>
#include <utility>

#include "Base/MessagePack.h"

namespace almondspoke::dispatch {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/** Longest time that a call waits until a leader is known, so that callers do
 * not notice if one leader directly follows another. */
constexpr milliseconds kMaxLeaderWait{ 30 };

/** Range of the retry time that callers get while there is no leader. The
 * shortest time covers an election and the reading of all workers' lists of
 * runs; the retries are spread over twice that time. */
constexpr std::uint32_t kMinRetryAfterMs = 500;
constexpr std::uint32_t kMaxRetryAfterMs = 1500;

/** Time for which an elected leader may still act on a call that was given up.
 * Longer than the leader keeps a best-effort job. */
constexpr std::chrono::seconds kUnresolvedRetention{ 15 };
constexpr std::size_t kMaxUnresolvedCalls = 5000;

/** The leader may answer this much later than the caller's deadline. */
constexpr milliseconds kAnswerTimeoutMargin{ 300 };

}

Gateway::Gateway(const Clock& aClock,
                 PeerRpc& aRpc,
                 LeaderFinder& aFinder,
                 EventLog& aLog)
  : mClock(aClock)
  , mRpc(aRpc)
  , mFinder(aFinder)
  , mLog(aLog)
  , mRandomEngine(std::random_device{}())
{
}

void
Gateway::Call(JobCall aCall, Done aDone)
{
  const TimePoint now = mClock.MonotonicNow();
  const std::uint64_t id = mNextCallId++;
  OpenCall& call = mCalls[id];
  call.mDone = std::move(aDone);
  call.mArrivedAt = now;
  call.mDeadline = now + milliseconds(aCall.mWaitMs);
  call.mCall = std::move(aCall);
  ++mCounters.mCalls;
  Send(id, call);
}

std::optional<InstanceName>
Gateway::TargetOf(const OpenCall& aCall) const
{
  const bool electedOnly = aCall.mCall.mEarlierSends > 0;
  return electedOnly ? mFinder.Leader() : mFinder.AnyLeader();
}

void
Gateway::Send(std::uint64_t aId, OpenCall& aCall)
{
  const std::optional<InstanceName> leader = TargetOf(aCall);
  if (!leader) {
    return;
  }
  aCall.mSentTo = *leader;
  aCall.mSentToLocalLeader = !mFinder.Leader();
  aCall.mCall.mForLocalLeader = aCall.mSentToLocalLeader;
  aCall.mCall.mManifestVersion = mManifestVersion;
  mCounters.mLocal += aCall.mSentToLocalLeader ? 1 : 0;
  const std::uint32_t attempt = ++aCall.mAttempt;
  const milliseconds left = std::max(
    milliseconds(0),
    duration_cast<milliseconds>(aCall.mDeadline - mClock.MonotonicNow()));
  aCall.mCall.mWaitMs = static_cast<std::uint32_t>(left.count());
  // The callback may run inside Call() and erase aCall.
  std::string request = PackMessage(aCall.mCall);
  mRpc.Call(*leader,
            kJobCallMethod,
            std::move(request),
            left + kAnswerTimeoutMargin,
            [this, aId, attempt](Result<std::string> aAnswer) {
              OnAnswer(aId, attempt, std::move(aAnswer));
            });
}

void
Gateway::OnAnswer(std::uint64_t aId,
                  std::uint32_t aAttempt,
                  Result<std::string> aAnswer)
{
  const auto found = mCalls.find(aId);
  if (found == mCalls.end()) {
    return;
  }
  OpenCall& call = found->second;
  if (call.mAttempt != aAttempt) {
    HandleEarlierAnswer(aId, aAnswer);
    return;
  }
  if (aAnswer) {
    const Result<JobReply> reply = UnpackMessage<JobReply>(aAnswer.value());
    if (reply) {
      mManifestVersion =
        std::max(mManifestVersion, reply.value().mManifestVersion);
      Finish(aId, reply.value());
      return;
    }
    EventLine(mLog, "leader-answer-malformed")
      .With("leader", call.mSentTo)
      .With("reason", reply.error().Message());
  }
  const bool notActedOn =
    !aAnswer && (aAnswer.error().Kind() == ErrorKind::PeerUnreachable ||
                 aAnswer.error().Kind() == ErrorKind::NotLeader);
  EventLine(mLog, "call-returned")
    .With("path", call.mCall.mPath)
    .With("leader", call.mSentTo)
    .With("acted_on", notActedOn ? "no" : "unknown")
    .With("reason", aAnswer ? "malformed answer" : aAnswer.error().Message());
  if (call.mSentToLocalLeader && !notActedOn) {
    // An elected leader does not know what the local leader has run, so the
    // call is not forwarded; the caller has to retry.
    FinishAsUnknown(aId,
                    "lost contact with the local leader of the data centre");
    return;
  }
  mFinder.SuspectLeader(call.mSentTo);
  call.mSentTo.clear();
  call.mCall.mEarlierSends += notActedOn ? 0 : 1;
}

// Accepts only a final result from a leader that the call was sent to earlier:
// the next leader may run a job that the earlier one refused.
void
Gateway::HandleEarlierAnswer(std::uint64_t aId,
                             const Result<std::string>& aAnswer)
{
  if (!aAnswer) {
    return;
  }
  const Result<JobReply> reply = UnpackMessage<JobReply>(aAnswer.value());
  const bool ended = reply && reply.value().mKind == JobReplyKind::Accepted &&
                     (reply.value().mState == JobState::Completed ||
                      reply.value().mState == JobState::Failed);
  if (ended) {
    Finish(aId, reply.value());
  }
}

void
Gateway::Finish(std::uint64_t aId, const JobReply& aReply)
{
  const auto found = mCalls.find(aId);
  const OpenCall call = std::move(found->second);
  mCalls.erase(found);
  mLatencies.Add(
    duration_cast<milliseconds>(mClock.MonotonicNow() - call.mArrivedAt));
  EventLine(mLog, "call-done")
    .With("path", call.mCall.mPath)
    .With("reply", NameOf(aReply.mKind))
    .With("state", NameOf(aReply.mState))
    .With("leader", call.mSentTo)
    .With("local", call.mSentToLocalLeader)
    .With("earlier_sends", call.mCall.mEarlierSends)
    .With("took_ms",
          std::int64_t{
            duration_cast<milliseconds>(mClock.MonotonicNow() - call.mArrivedAt)
              .count() });
  call.mDone(aReply);
}

bool
Gateway::ShouldGiveUp(const OpenCall& aCall, TimePoint aNow) const
{
  if (aNow >= aCall.mDeadline) {
    return true;
  }
  return aCall.mSentTo.empty() && aCall.mCall.mEarlierSends == 0 &&
         aNow - aCall.mArrivedAt >= kMaxLeaderWait && !TargetOf(aCall);
}

void
Gateway::GiveUp(std::uint64_t aId, const OpenCall& aCall)
{
  const bool reached = aCall.mCall.mEarlierSends > 0 || !aCall.mSentTo.empty();
  if (reached) {
    FinishAsUnknown(aId,
                    "no answer from the leader before the caller's timeout");
    return;
  }
  ++mCounters.mWithoutLeader;
  JobReply reply;
  reply.mKind = JobReplyKind::Unavailable;
  reply.mMessage = "no leader can be reached";
  reply.mRetryAfterMs = std::uniform_int_distribution<std::uint32_t>(
    kMinRetryAfterMs, kMaxRetryAfterMs)(mRandomEngine);
  Finish(aId, reply);
}

void
Gateway::FinishAsUnknown(std::uint64_t aId, const char* aReason)
{
  ++mCounters.mUnknown;
  RememberUnresolved(mCalls.at(aId));
  JobReply reply;
  reply.mKind = JobReplyKind::Unknown;
  reply.mMessage = aReason;
  Finish(aId, reply);
}

void
Gateway::RememberUnresolved(const OpenCall& aCall)
{
  const bool mayReachElected =
    aCall.mCall.mKind == JobCallKind::Submit &&
    (aCall.mCall.mEarlierSends > 0 || !aCall.mSentToLocalLeader);
  if (mayReachElected && mUnresolvedUntil.size() < kMaxUnresolvedCalls) {
    mUnresolvedUntil[CallKeyOf(aCall.mCall)] =
      mClock.MonotonicNow() + kUnresolvedRetention;
  }
}

// Passes on the calls that the local leader must not run because an elected
// leader may still act on them.
void
Gateway::ShareUnresolved()
{
  const TimePoint now = mClock.MonotonicNow();
  for (auto entry = mUnresolvedUntil.begin();
       entry != mUnresolvedUntil.end();) {
    entry =
      now > entry->second ? mUnresolvedUntil.erase(entry) : std::next(entry);
  }
  if (!mFinder.WantsLocalLeader()) {
    return;
  }
  std::vector<std::string> keys;
  for (const auto& [key, until] : mUnresolvedUntil) {
    keys.push_back(key);
  }
  for (const auto& [id, call] : mCalls) {
    const bool mayReachElected =
      call.mCall.mEarlierSends > 0 ||
      (!call.mSentTo.empty() && !call.mSentToLocalLeader);
    if (mayReachElected && call.mCall.mKind == JobCallKind::Submit) {
      keys.push_back(CallKeyOf(call.mCall));
    }
  }
  mFinder.SetUnresolved(std::move(keys));
}

void
Gateway::Tick()
{
  const TimePoint now = mClock.MonotonicNow();
  const std::optional<InstanceName> leader = mFinder.Leader();
  mCounters.mLeaderLost += mWasLeaderKnown && !leader ? 1 : 0;
  if (mWasLeaderKnown != leader.has_value()) {
    EventLine(mLog, leader ? "leader-known" : "leader-unknown")
      .With("leader", leader.value_or(""))
      .With("open_calls", std::uint64_t{ mCalls.size() });
  }
  mWasLeaderKnown = leader.has_value();
  std::vector<std::uint64_t> expired;
  std::vector<std::uint64_t> sendable;
  for (auto& [id, call] : mCalls) {
    if (ShouldGiveUp(call, now)) {
      expired.push_back(id);
      continue;
    }
    const bool leaderChanged = leader && !call.mSentTo.empty() &&
                               !call.mSentToLocalLeader &&
                               call.mSentTo != *leader;
    if (leaderChanged) {
      call.mSentTo.clear();
      ++call.mCall.mEarlierSends;
    }
    if (call.mSentTo.empty() && TargetOf(call)) {
      sendable.push_back(id);
    }
  }
  ShareUnresolved();
  for (const std::uint64_t id : expired) {
    GiveUp(id, mCalls.at(id));
  }
  for (const std::uint64_t id : sendable) {
    mCounters.mResent += mCalls.at(id).mCall.mEarlierSends > 0 ? 1 : 0;
    Send(id, mCalls.at(id));
  }
}

void
Gateway::GiveUpAll()
{
  while (!mCalls.empty()) {
    GiveUp(mCalls.begin()->first, mCalls.begin()->second);
  }
}

void
Gateway::OnCallerLeft(const CallerLeft& aLeft)
{
  const std::optional<InstanceName> leader = mFinder.AnyLeader();
  if (!leader) {
    return;
  }
  mRpc.Call(*leader,
            kCallerLeftMethod,
            PackMessage(aLeft),
            kAnswerTimeoutMargin,
            [](const Result<std::string>&) {
              // If the message is lost, workers only finish a job that nobody
              // waits for.
            });
}

bool
Gateway::IsReady() const
{
  return mFinder.AnyLeader().has_value();
}

}
