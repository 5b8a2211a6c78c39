#include "Dispatch/Gateway.h"

#include <algorithm>
#include <utility>

#include "Base/MessagePack.h"

namespace almondspoke::dispatch {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/** Time for which a call that reached no leader is kept, so that a change of
 * the leader without a gap is not noticed. */
constexpr milliseconds kLeaderPatience{ 30 };

/** When callers may come back that found no leader: an election with the
 * reading of all workers' lists, spread over twice that time. */
constexpr std::uint32_t kShortestRetryMs = 500;
constexpr std::uint32_t kLongestRetryMs = 1500;

/** Time for which an elected leader may act on a call that was given up: longer
 * than it keeps a best-effort job. */
constexpr std::chrono::seconds kUnresolvedFor{ 15 };
/** Such calls that are remembered at most. */
constexpr std::size_t kMaxUnresolved = 5000;

/** Time that a leader has for the answer beyond the caller's own. */
constexpr milliseconds kAnswerSlack{ 300 };

}

Gateway::Gateway(const Clock& aClock,
                 PeerRpc& aRpc,
                 LeaderFinder& aFinder,
                 EventLog& aLog)
  : mClock(aClock)
  , mRpc(aRpc)
  , mFinder(aFinder)
  , mLog(aLog)
  , mRandom(std::random_device{}())
{
}

void
Gateway::Call(JobCall aCall, Done aDone)
{
  const TimePoint now = mClock.MonotonicNow();
  const std::uint64_t id = mNextId++;
  OpenCall& call = mCalls[id];
  call.mDone = std::move(aDone);
  call.mArrived = now;
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
  aCall.mAt = *leader;
  aCall.mAtLocal = !mFinder.Leader();
  aCall.mCall.mLocal = aCall.mAtLocal;
  aCall.mCall.mManifest = mManifest;
  mCounters.mLocal += aCall.mAtLocal ? 1 : 0;
  const std::uint32_t sending = ++aCall.mSending;
  const milliseconds left =
    duration_cast<milliseconds>(aCall.mDeadline - mClock.MonotonicNow());
  // The callback may come at once and end the call.
  std::string request = PackMessage(aCall.mCall);
  mRpc.Call(*leader,
            kJobCallMethod,
            std::move(request),
            std::max(left, milliseconds(0)) + kAnswerSlack,
            [this, aId, sending](Result<std::string> aAnswer) {
              OnAnswer(aId, sending, std::move(aAnswer));
            });
}

void
Gateway::OnAnswer(std::uint64_t aId,
                  std::uint32_t aSending,
                  Result<std::string> aAnswer)
{
  const auto found = mCalls.find(aId);
  if (found == mCalls.end()) {
    return;
  }
  OpenCall& call = found->second;
  if (call.mSending != aSending) {
    TakeEarlierAnswer(aId, aAnswer);
    return;
  }
  if (aAnswer) {
    const Result<JobReply> reply = UnpackMessage<JobReply>(aAnswer.value());
    if (reply) {
      mManifest = std::max(mManifest, reply.value().mManifest);
      Finish(aId, reply.value());
      return;
    }
    EventLine(mLog, "leader-answer-malformed")
      .With("leader", call.mAt)
      .With("reason", reply.error().Message());
  }
  const bool notActedOn =
    !aAnswer && (aAnswer.error().Kind() == ErrorKind::PeerUnreachable ||
                 aAnswer.error().Kind() == ErrorKind::NotLeader);
  EventLine(mLog, "call-returned")
    .With("path", call.mCall.mPath)
    .With("leader", call.mAt)
    .With("acted_on", notActedOn ? "no" : "unknown")
    .With("reason", aAnswer ? "malformed answer" : aAnswer.error().Message());
  if (call.mAtLocal && !notActedOn) {
    // An elected leader does not know what ran here: the caller comes again.
    EndUnknown(aId, "the instance that led this data centre alone is lost");
    return;
  }
  mFinder.Doubt(call.mAt);
  call.mAt.clear();
  call.mCall.mEarlierSends += notActedOn ? 0 : 1;
}

// Of a leader that the call has moved on from, only the end of the job counts:
// the next leader may run what an earlier one refused.
void
Gateway::TakeEarlierAnswer(std::uint64_t aId,
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
    duration_cast<milliseconds>(mClock.MonotonicNow() - call.mArrived));
  EventLine(mLog, "call-done")
    .With("path", call.mCall.mPath)
    .With("reply", NameOf(aReply.mKind))
    .With("state", NameOf(aReply.mState))
    .With("leader", call.mAt)
    .With("local", call.mAtLocal)
    .With("earlier_sends", call.mCall.mEarlierSends)
    .With("took_ms",
          std::int64_t{
            duration_cast<milliseconds>(mClock.MonotonicNow() - call.mArrived)
              .count() });
  call.mDone(aReply);
}

bool
Gateway::IsDue(const OpenCall& aCall, TimePoint aNow) const
{
  if (aNow >= aCall.mDeadline) {
    return true;
  }
  return aCall.mAt.empty() && aCall.mCall.mEarlierSends == 0 &&
         aNow - aCall.mArrived >= kLeaderPatience && !TargetOf(aCall);
}

void
Gateway::GiveUp(std::uint64_t aId, const OpenCall& aCall)
{
  const bool reached = aCall.mCall.mEarlierSends > 0 || !aCall.mAt.empty();
  if (reached) {
    EndUnknown(aId, "no answer within the caller's time");
    return;
  }
  ++mCounters.mWithoutLeader;
  JobReply reply;
  reply.mKind = JobReplyKind::Unavailable;
  reply.mMessage = "no leader can be reached";
  reply.mRetryAfterMs = std::uniform_int_distribution<std::uint32_t>(
    kShortestRetryMs, kLongestRetryMs)(mRandom);
  Finish(aId, reply);
}

void
Gateway::EndUnknown(std::uint64_t aId, const char* aWhy)
{
  ++mCounters.mUnknown;
  RememberUnresolved(mCalls.at(aId));
  JobReply reply;
  reply.mKind = JobReplyKind::Unknown;
  reply.mMessage = aWhy;
  Finish(aId, reply);
}

void
Gateway::RememberUnresolved(const OpenCall& aCall)
{
  const bool elected = aCall.mCall.mKind == JobCallKind::Submit &&
                       (aCall.mCall.mEarlierSends > 0 || !aCall.mAtLocal);
  if (elected && mUnresolved.size() < kMaxUnresolved) {
    mUnresolved[CallKeyOf(aCall.mCall)] =
      mClock.MonotonicNow() + kUnresolvedFor;
  }
}

// Whoever leads this data centre alone leaves these calls to the elected
// leader.
void
Gateway::ShareUnresolved()
{
  const TimePoint now = mClock.MonotonicNow();
  for (auto entry = mUnresolved.begin(); entry != mUnresolved.end();) {
    entry = now > entry->second ? mUnresolved.erase(entry) : std::next(entry);
  }
  if (!mFinder.WantsLocalLeader()) {
    return;
  }
  std::vector<std::string> keys;
  for (const auto& [key, until] : mUnresolved) {
    keys.push_back(key);
  }
  for (const auto& [id, call] : mCalls) {
    const bool elected =
      call.mCall.mEarlierSends > 0 || (!call.mAt.empty() && !call.mAtLocal);
    if (elected && call.mCall.mKind == JobCallKind::Submit) {
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
  std::vector<std::uint64_t> due;
  std::vector<std::uint64_t> unsent;
  for (auto& [id, call] : mCalls) {
    if (IsDue(call, now)) {
      due.push_back(id);
      continue;
    }
    const bool moved =
      leader && !call.mAt.empty() && !call.mAtLocal && call.mAt != *leader;
    if (moved) {
      call.mAt.clear();
      ++call.mCall.mEarlierSends;
    }
    if (call.mAt.empty() && TargetOf(call)) {
      unsent.push_back(id);
    }
  }
  ShareUnresolved();
  for (const std::uint64_t id : due) {
    GiveUp(id, mCalls.at(id));
  }
  for (const std::uint64_t id : unsent) {
    mCounters.mResent += mCalls.at(id).mCall.mEarlierSends > 0 ? 1 : 0;
    Send(id, mCalls.at(id));
  }
}

void
Gateway::AnswerAll()
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
            kAnswerSlack,
            [](const Result<std::string>&) {
              // Lost notes cost work that nobody waits for, and no more.
            });
}

bool
Gateway::IsReady() const
{
  return mFinder.AnyLeader().has_value();
}

}
