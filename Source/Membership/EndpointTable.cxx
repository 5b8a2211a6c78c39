#include "Membership/EndpointTable.h"

#include <algorithm>
#include <cmath>

namespace almondspoke {

namespace {

bool
IsSameAnnouncement(const EndpointAnnouncement& aLeft,
                   const EndpointAnnouncement& aRight)
{
  return aLeft.mService == aRight.mService &&
         aLeft.mAddress == aRight.mAddress && aLeft.mSlots == aRight.mSlots &&
         aLeft.mConnections == aRight.mConnections &&
         aLeft.mCores == aRight.mCores &&
         aLeft.mMemoryBytes == aRight.mMemoryBytes &&
         aLeft.mAccelerators == aRight.mAccelerators &&
         aLeft.mRack == aRight.mRack &&
         aLeft.mTimeToLive == aRight.mTimeToLive &&
         aLeft.mIncarnation == aRight.mIncarnation;
}

double
RelativeChange(double aBefore, double aAfter, double aCapacity)
{
  return aCapacity > 0 ? std::fabs(aAfter - aBefore) / aCapacity : 0;
}

}

EndpointTable::EndpointTable(const Clock& aClock,
                             EndpointTableOptions aOptions,
                             DataCentreName aDataCentre,
                             std::uint64_t aSenderIncarnation)
  : mClock(aClock)
  , mOptions(aOptions)
  , mDataCentre(std::move(aDataCentre))
  , mSenderIncarnation(aSenderIncarnation)
{
}

Result<void>
EndpointTable::Announce(const EndpointAnnouncement& aAnnouncement)
{
  const std::lock_guard<std::mutex> delivery(mDeliveryMutex);
  Changes changes;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const Clock::Monotonic now = mClock.MonotonicNow();
    Result<void> checked = CheckAnnouncement(aAnnouncement, now);
    if (checked.has_error()) {
      return checked;
    }
    auto found = mRecords.find(aAnnouncement.mName);
    const bool known = found != mRecords.end();
    const bool restarted =
      known && found->second.mEndpoint.mAnnouncement.mIncarnation <
                 aAnnouncement.mIncarnation;
    const bool changed =
      !known ||
      !IsSameAnnouncement(found->second.mEndpoint.mAnnouncement, aAnnouncement);
    std::uint32_t renewalId = known ? found->second.mRenewalId : 0;
    if (changed) {
      Endpoint endpoint;
      endpoint.mAnnouncement = aAnnouncement;
      endpoint.mDataCentre = mDataCentre;
      if (known && !restarted) {
        endpoint.mLeaving = found->second.mEndpoint.mLeaving;
        endpoint.mUsage = found->second.mEndpoint.mUsage;
      }
      Insert(endpoint, changes);
      found = mRecords.find(aAnnouncement.mName);
    }
    Record& record = found->second;
    // A late heartbeat must not extend the lease of a leaving endpoint.
    if (!record.mEndpoint.mLeaving) {
      record.mExpiry = now + aAnnouncement.mTimeToLive;
    }
    if (renewalId == 0) {
      renewalId = ++mLastRenewalId;
    }
    const bool needsRenewalId = record.mRenewalId == 0;
    record.mRenewalId = renewalId;
    if (changed || needsRenewalId) {
      mUnsentChanges.insert(aAnnouncement.mName);
    } else if (!record.mEndpoint.mLeaving) {
      mUnsentRenewalIds.insert(renewalId);
    }
  }
  NotifyObservers(changes);
  return Success();
}

Result<void>
EndpointTable::CheckAnnouncement(const EndpointAnnouncement& aAnnouncement,
                                 Clock::Monotonic aNow) const
{
  if (IsDeparted(aAnnouncement.mName, aAnnouncement.mIncarnation)) {
    return Error(ErrorKind::StaleIncarnation,
                 "endpoint '" + aAnnouncement.mName +
                   "' has left under this incarnation (allowed: a higher one)");
  }
  const auto found = mRecords.find(aAnnouncement.mName);
  if (found == mRecords.end()) {
    if (mRecords.size() >= mOptions.mMaxEndpoints) {
      return Error(ErrorKind::TooManyEndpoints,
                   "the table holds " + std::to_string(mRecords.size()) +
                     " endpoints (allowed: at most " +
                     std::to_string(mOptions.mMaxEndpoints) + ")");
    }
    return Success();
  }
  const EndpointAnnouncement& known = found->second.mEndpoint.mAnnouncement;
  if (aAnnouncement.mIncarnation < known.mIncarnation) {
    return Error(ErrorKind::StaleIncarnation,
                 "endpoint '" + aAnnouncement.mName + "' incarnation " +
                   std::to_string(aAnnouncement.mIncarnation) +
                   " (allowed: at least " + std::to_string(known.mIncarnation) +
                   ")");
  }
  if (aAnnouncement.mIncarnation == known.mIncarnation &&
      aAnnouncement.mAddress != known.mAddress) {
    const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(
        found->second.mExpiry - aNow);
    return Error(ErrorKind::StaleIncarnation,
                 "endpoint '" + aAnnouncement.mName + "' is announced at " +
                   known.mAddress +
                   " under this incarnation (allowed: a higher one)",
                 std::max(remaining, std::chrono::milliseconds(0)));
  }
  return Success();
}

Result<void>
EndpointTable::Leave(const EndpointName& aName, std::uint64_t aIncarnation)
{
  const std::lock_guard<std::mutex> delivery(mDeliveryMutex);
  Changes changes;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const auto found = mRecords.find(aName);
    if (found == mRecords.end()) {
      return Error(ErrorKind::NotFound, "no endpoint '" + aName + "'");
    }
    const std::uint64_t known =
      found->second.mEndpoint.mAnnouncement.mIncarnation;
    if (aIncarnation != 0 && aIncarnation < known) {
      return Error(ErrorKind::StaleIncarnation,
                   "endpoint '" + aName + "' incarnation " +
                     std::to_string(aIncarnation) + " (allowed: at least " +
                     std::to_string(known) + ")");
    }
    MarkLeaving(found->second, changes);
    mUnsentChanges.insert(aName);
  }
  NotifyObservers(changes);
  return Success();
}

Result<void>
EndpointTable::ReportUsage(const EndpointName& aName,
                           const UsageReport& aReport)
{
  const std::lock_guard<std::mutex> delivery(mDeliveryMutex);
  Changes changes;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const auto found = mRecords.find(aName);
    if (found == mRecords.end()) {
      return Error(ErrorKind::NotFound, "no endpoint '" + aName + "'");
    }
    Record& record = found->second;
    const std::optional<UsageReport>& known = record.mEndpoint.mUsage;
    if (known &&
        known->mMeasuredAtMilliseconds >= aReport.mMeasuredAtMilliseconds) {
      return Success();
    }
    record.mEndpoint.mUsage = aReport;
    if (IsUsageChangeSignificant(record)) {
      mUnsentChanges.insert(aName);
    }
    changes.push_back({ EndpointChange::Kind::Updated, record.mEndpoint });
  }
  NotifyObservers(changes);
  return Success();
}

std::optional<EndpointMessage>
EndpointTable::OnMessage(const InstanceName& aFrom,
                         const EndpointMessage& aMessage)
{
  const std::lock_guard<std::mutex> delivery(mDeliveryMutex);
  std::optional<EndpointMessage> answer;
  Changes changes;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const Clock::Monotonic now = mClock.MonotonicNow();
    SenderRenewalIds& renewalIds = mRenewalIdsBySender[aFrom];
    if (renewalIds.mIncarnation != aMessage.mSenderIncarnation) {
      renewalIds = { aMessage.mSenderIncarnation, {}, std::nullopt };
    }
    for (const EndpointEntry& entry : aMessage.mEntries) {
      MergeEntry(aFrom, entry, now, changes);
    }
    if (!MergeRenewals(aFrom, aMessage, now) && IsSyncDue(aFrom, now)) {
      answer = SyncRequest();
    }
    if (aMessage.mKind == EndpointMessageKind::SyncRequest) {
      answer = AllEntries(now);
    }
  }
  NotifyObservers(changes);
  return answer;
}

void
EndpointTable::MergeEntry(const InstanceName& aFrom,
                          const EndpointEntry& aEntry,
                          Clock::Monotonic aNow,
                          Changes& aChanges)
{
  const EndpointAnnouncement& received = aEntry.mEndpoint.mAnnouncement;
  if (aEntry.mRenewalId != 0) {
    mRenewalIdsBySender[aFrom].mNames[aEntry.mRenewalId] = received.mName;
  }
  if (IsDeparted(received.mName, received.mIncarnation)) {
    return;
  }
  const Clock::Monotonic expiry = aNow + aEntry.mRemaining;
  const auto found = mRecords.find(received.mName);
  if (found == mRecords.end()) {
    if (mRecords.size() < mOptions.mMaxEndpoints) {
      Insert(aEntry.mEndpoint, aChanges).mExpiry = expiry;
    }
    return;
  }
  Record& record = found->second;
  const EndpointAnnouncement& local = record.mEndpoint.mAnnouncement;
  if (received.mIncarnation < local.mIncarnation) {
    return;
  }
  const bool newer = received.mIncarnation > local.mIncarnation;
  // If two instances accepted different addresses for one incarnation, both
  // keep the greater address, so that the tables converge.
  const bool preferReceived = received.mAddress == local.mAddress
                                ? !IsSameAnnouncement(received, local)
                                : received.mAddress > local.mAddress;
  if (newer || preferReceived) {
    Endpoint merged = aEntry.mEndpoint;
    merged.mLeaving |= !newer && record.mEndpoint.mLeaving;
    const std::uint32_t renewalId = record.mRenewalId;
    Record& replaced = Insert(merged, aChanges);
    replaced.mRenewalId = renewalId;
    replaced.mExpiry = expiry;
    return;
  }
  record.mExpiry = std::max(record.mExpiry, expiry);
  if (aEntry.mEndpoint.mLeaving) {
    MarkLeaving(record, aChanges);
  }
  const std::optional<UsageReport>& usage = aEntry.mEndpoint.mUsage;
  std::optional<UsageReport>& known = record.mEndpoint.mUsage;
  if (usage && (!known || known->mMeasuredAtMilliseconds <
                            usage->mMeasuredAtMilliseconds)) {
    known = usage;
    aChanges.push_back({ EndpointChange::Kind::Updated, record.mEndpoint });
  }
}

bool
EndpointTable::MergeRenewals(const InstanceName& aFrom,
                             const EndpointMessage& aMessage,
                             Clock::Monotonic aNow)
{
  bool allIdsKnown = true;
  const SenderRenewalIds& renewalIds = mRenewalIdsBySender[aFrom];
  for (const std::uint32_t renewalId : aMessage.mRenewedIds) {
    const auto name = renewalIds.mNames.find(renewalId);
    if (name == renewalIds.mNames.end()) {
      allIdsKnown = false;
      continue;
    }
    const auto record = mRecords.find(name->second);
    if (record == mRecords.end()) {
      // The lease expired here while the endpoint still renews it at the
      // sender. A sync is needed unless the endpoint has left.
      allIdsKnown = allIdsKnown && mDeparted.count(name->second) != 0;
      continue;
    }
    if (record->second.mEndpoint.mLeaving) {
      continue;
    }
    const Clock::Monotonic expiry =
      aNow + record->second.mEndpoint.mAnnouncement.mTimeToLive;
    record->second.mExpiry = std::max(record->second.mExpiry, expiry);
  }
  return allIdsKnown;
}

EndpointMessage
EndpointTable::SyncRequest() const
{
  return { EndpointMessageKind::SyncRequest, mSenderIncarnation, {}, {} };
}

bool
EndpointTable::IsSyncDue(const InstanceName& aFrom, Clock::Monotonic aNow)
{
  std::optional<Clock::Monotonic>& last =
    mRenewalIdsBySender[aFrom].mLastSyncRequest;
  if (last && aNow - *last < mOptions.mMinSyncInterval) {
    return false;
  }
  last = aNow;
  return true;
}

std::vector<EndpointMessage>
EndpointTable::Tick()
{
  const std::lock_guard<std::mutex> delivery(mDeliveryMutex);
  std::vector<EndpointMessage> messages;
  Changes changes;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const Clock::Monotonic now = mClock.MonotonicNow();
    ExtendLeasesAfterPause(now);
    mLastTick = now;
    ExpireLeases(now, changes);
    EndpointMessage delta{
      EndpointMessageKind::Delta, mSenderIncarnation, {}, {}
    };
    for (const EndpointName& name : mUnsentChanges) {
      const auto record = mRecords.find(name);
      if (record != mRecords.end()) {
        record->second.mLastSentUsage = record->second.mEndpoint.mUsage;
        delta.mEntries.push_back(EntryOf(record->second, now));
      }
    }
    mUnsentChanges.clear();
    if (!delta.mEntries.empty()) {
      messages.push_back(std::move(delta));
    }
    const bool renewalsDue =
      !mLastRenewals || now - *mLastRenewals >= mOptions.mRenewalPeriod;
    if (renewalsDue && !mUnsentRenewalIds.empty()) {
      mLastRenewals = now;
      messages.push_back(
        { EndpointMessageKind::Renewals,
          mSenderIncarnation,
          {},
          { mUnsentRenewalIds.begin(), mUnsentRenewalIds.end() } });
      mUnsentRenewalIds.clear();
    }
  }
  NotifyObservers(changes);
  return messages;
}

std::vector<Endpoint>
EndpointTable::EndpointsOf(const ServiceName& aService) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::vector<Endpoint> endpoints;
  const auto names = mByService.find(aService);
  if (names == mByService.end()) {
    return endpoints;
  }
  const Clock::Monotonic now = mClock.MonotonicNow();
  for (const EndpointName& name : names->second) {
    const Record& record = mRecords.at(name);
    if (!record.mEndpoint.mLeaving && record.mExpiry > now) {
      endpoints.push_back(record.mEndpoint);
    }
  }
  return endpoints;
}

std::vector<Endpoint>
EndpointTable::AllEndpoints() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::vector<Endpoint> endpoints;
  endpoints.reserve(mRecords.size());
  for (const auto& [service, names] : mByService) {
    for (const EndpointName& name : names) {
      endpoints.push_back(mRecords.at(name).mEndpoint);
    }
  }
  return endpoints;
}

void
EndpointTable::Observe(Observer aObserver)
{
  const std::lock_guard<std::mutex> delivery(mDeliveryMutex);
  mObservers.push_back(std::move(aObserver));
}

std::size_t
EndpointTable::Size() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mRecords.size();
}

void
EndpointTable::MarkLeaving(Record& aRecord, Changes& aChanges)
{
  if (aRecord.mEndpoint.mLeaving) {
    return;
  }
  aRecord.mEndpoint.mLeaving = true;
  aChanges.push_back({ EndpointChange::Kind::Leaving, aRecord.mEndpoint });
}

void
EndpointTable::ExpireLeases(Clock::Monotonic aNow, Changes& aChanges)
{
  std::vector<EndpointName> expired;
  for (const auto& [name, record] : mRecords) {
    if (record.mExpiry <= aNow) {
      expired.push_back(name);
    }
  }
  for (const EndpointName& name : expired) {
    Erase(name, aNow, aChanges);
  }
  for (auto departure = mDeparted.begin(); departure != mDeparted.end();) {
    const bool retentionEnded = departure->second.mRetainUntil <= aNow;
    departure =
      retentionEnded ? mDeparted.erase(departure) : std::next(departure);
  }
}

void
EndpointTable::ExtendLeasesAfterPause(Clock::Monotonic aNow)
{
  // Renewals that arrived during a pause of this process have not been read
  // yet, so leases that expired meanwhile may have been renewed.
  if (!mLastTick || aNow - *mLastTick < mOptions.mMinLeaseAfterPause) {
    return;
  }
  for (auto& [name, record] : mRecords) {
    record.mExpiry =
      std::max(record.mExpiry, aNow + mOptions.mMinLeaseAfterPause);
  }
}

EndpointTable::Record&
EndpointTable::Insert(const Endpoint& aEndpoint, Changes& aChanges)
{
  const EndpointName& name = aEndpoint.mAnnouncement.mName;
  const auto known = mRecords.find(name);
  const bool isNew = known == mRecords.end();
  if (!isNew) {
    mByService[known->second.mEndpoint.mAnnouncement.mService].erase(name);
  }
  Record& record = mRecords[name];
  record.mEndpoint = aEndpoint;
  mByService[aEndpoint.mAnnouncement.mService].insert(name);
  mDeparted.erase(name);
  aChanges.push_back(
    { isNew ? EndpointChange::Kind::Added : EndpointChange::Kind::Updated,
      aEndpoint });
  return record;
}

void
EndpointTable::Erase(const EndpointName& aName,
                     Clock::Monotonic aNow,
                     Changes& aChanges)
{
  const auto found = mRecords.find(aName);
  const Endpoint endpoint = found->second.mEndpoint;
  const auto names = mByService.find(endpoint.mAnnouncement.mService);
  names->second.erase(aName);
  if (names->second.empty()) {
    mByService.erase(names);
  }
  mRecords.erase(found);
  if (endpoint.mLeaving) {
    mDeparted[aName] = { endpoint.mAnnouncement.mIncarnation,
                         aNow + mOptions.mDepartureRetention };
  }
  aChanges.push_back({ EndpointChange::Kind::Removed, endpoint });
}

EndpointMessage
EndpointTable::AllEntries(Clock::Monotonic aNow) const
{
  EndpointMessage message{
    EndpointMessageKind::Sync, mSenderIncarnation, {}, {}
  };
  for (const auto& [name, record] : mRecords) {
    message.mEntries.push_back(EntryOf(record, aNow));
  }
  return message;
}

EndpointEntry
EndpointTable::EntryOf(const Record& aRecord, Clock::Monotonic aNow) const
{
  return { aRecord.mRenewalId,
           aRecord.mEndpoint,
           std::chrono::duration_cast<std::chrono::milliseconds>(
             aRecord.mExpiry - aNow) };
}

bool
EndpointTable::IsDeparted(const EndpointName& aName,
                          std::uint64_t aIncarnation) const
{
  const auto departure = mDeparted.find(aName);
  return departure != mDeparted.end() &&
         aIncarnation <= departure->second.mIncarnation;
}

bool
EndpointTable::IsUsageChangeSignificant(const Record& aRecord) const
{
  if (!aRecord.mLastSentUsage) {
    return true;
  }
  const EndpointAnnouncement& capacity = aRecord.mEndpoint.mAnnouncement;
  const UsageReport& before = *aRecord.mLastSentUsage;
  const UsageReport& after = *aRecord.mEndpoint.mUsage;
  return before.mAcceleratorsUsed != after.mAcceleratorsUsed ||
         RelativeChange(before.mCoresUsed, after.mCoresUsed, capacity.mCores) >
           mOptions.mUsageChangeThreshold ||
         RelativeChange(static_cast<double>(before.mMemoryUsedBytes),
                        static_cast<double>(after.mMemoryUsedBytes),
                        static_cast<double>(capacity.mMemoryBytes)) >
           mOptions.mUsageChangeThreshold;
}

void
EndpointTable::NotifyObservers(const Changes& aChanges)
{
  for (const EndpointChange& change : aChanges) {
    for (const Observer& observer : mObservers) {
      observer(change);
    }
  }
}

}
