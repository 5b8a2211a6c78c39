#include "Dispatch/RelayDirectory.h"

#include <algorithm>
#include <functional>

namespace almondspoke::dispatch {

namespace {

/** Time for which a coordinator's word is valid: two intervals of its status
 * answers, and a margin. */
constexpr std::chrono::milliseconds kValidity{ 2500 };

/** Time for which a relay that failed is passed over. */
constexpr std::chrono::milliseconds kPassOverTime{ 2000 };

/** Consecutive unanswered orders that show that a relay fails, rather than a
 * worker or a single message. */
constexpr unsigned kMaxUnanswered = 4;

/** Time without any answer of a relay that shows that it fails. Orders to
 * several workers that do not answer end unanswered at the same moment. */
constexpr std::chrono::milliseconds kMaxSilence{ 300 };

/** A reading that is older than this belongs to a clock that began anew. */
constexpr PeerTime kMaxReadingAgeMs = 10'000;

}

RelayDirectory::RelayDirectory(const Clock& aClock, EventLog& aLog)
  : mClock(aClock)
  , mLog(aLog)
{
}

void
RelayDirectory::Update(const InstanceName& aPeer,
                       const std::string& aDataCentre,
                       bool aRelaysOrders,
                       PeerTime aClock)
{
  if (!aRelaysOrders) {
    if (mRelays.erase(aPeer) != 0) {
      EventLine(mLog, "relay-lost")
        .With("peer", aPeer)
        .With("reason", "says so");
    }
    return;
  }
  const auto [relay, isNew] = mRelays.try_emplace(aPeer);
  relay->second.mDataCentre = aDataCentre;
  relay->second.mValidUntil = mClock.MonotonicNow() + kValidity;
  ObserveClock(relay->second, aClock);
  if (isNew) {
    EventLine(mLog, "relay-found")
      .With("peer", aPeer)
      .With("data_centre", aDataCentre);
  }
}

// A reading is old when it arrives, so that the highest lead seen is closest to
// the true one.
void
RelayDirectory::ObserveClock(Relay& aRelay, PeerTime aClock) const
{
  if (aClock <= 0) {
    aRelay.mMinClockLead.reset();
    return;
  }
  const PeerTime lead = aClock - PeerTimeOf(mClock);
  const PeerTime known = aRelay.mMinClockLead.value_or(lead);
  const bool hasBegunAnew = lead < known - kMaxReadingAgeMs;
  aRelay.mMinClockLead = hasBegunAnew ? lead : std::max(lead, known);
}

PeerTime
RelayDirectory::ClockOf(const InstanceName& aPeer) const
{
  const auto relay = mRelays.find(aPeer);
  const bool isKnown = relay != mRelays.end() && relay->second.mMinClockLead;
  return isKnown ? PeerTimeOf(mClock) + *relay->second.mMinClockLead : 0;
}

void
RelayDirectory::PassOver(const InstanceName& aPeer, const char* aReason)
{
  const auto relay = mRelays.find(aPeer);
  const TimePoint now = mClock.MonotonicNow();
  if (relay == mRelays.end() || now < relay->second.mPassedOverUntil) {
    return;
  }
  relay->second.mPassedOverUntil = now + kPassOverTime;
  EventLine(mLog, "relay-lost").With("peer", aPeer).With("reason", aReason);
}

void
RelayDirectory::OnAnswered(const InstanceName& aPeer)
{
  const auto relay = mRelays.find(aPeer);
  if (relay != mRelays.end()) {
    relay->second.mUnanswered = 0;
    relay->second.mLastAnswerAt = mClock.MonotonicNow();
  }
}

void
RelayDirectory::OnUnanswered(const InstanceName& aPeer)
{
  const auto relay = mRelays.find(aPeer);
  if (relay == mRelays.end() || ++relay->second.mUnanswered < kMaxUnanswered) {
    return;
  }
  const bool isSilent =
    mClock.MonotonicNow() - relay->second.mLastAnswerAt >= kMaxSilence;
  if (isSilent) {
    relay->second.mUnanswered = 0;
    PassOver(aPeer, "no answer");
  }
}

std::optional<InstanceName>
RelayDirectory::RelayOf(const std::string& aDataCentre,
                        const WorkerId& aWorker) const
{
  return Choose(aWorker, [&](const Relay& aRelay) {
    return aRelay.mDataCentre == aDataCentre;
  });
}

std::optional<InstanceName>
RelayDirectory::AnyRelayFor(const WorkerId& aWorker) const
{
  return Choose(aWorker, [](const Relay&) { return true; });
}

template<typename Predicate>
std::optional<InstanceName>
RelayDirectory::Choose(const WorkerId& aWorker, Predicate aIsSuitable) const
{
  const TimePoint now = mClock.MonotonicNow();
  std::vector<const InstanceName*> usable;
  for (const auto& [peer, relay] : mRelays) {
    if (aIsSuitable(relay) && now < relay.mValidUntil &&
        now >= relay.mPassedOverUntil) {
      usable.push_back(&peer);
    }
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  return *usable[std::hash<std::string>()(aWorker) % usable.size()];
}

}
