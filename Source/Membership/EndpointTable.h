#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "Base/Clock.h"
#include "Base/Result.h"
#include "Membership/Endpoint.h"
#include "Membership/EndpointMessage.h"
#include "Membership/EndpointRegistry.h"

namespace almondspoke {

/** \brief Limits and intervals of an endpoint table. */
struct EndpointTableOptions
{
  /** Maximum number of endpoints in the table. */
  std::size_t mMaxEndpoints = 20000;
  /** Interval between two batches of renewals to the other instances. */
  std::chrono::milliseconds mRenewalPeriod{ 500 };
  /** Time for which the incarnation of an endpoint that left is kept, to reject
   * late announcements of it. */
  std::chrono::milliseconds mDepartureRetention{ 60000 };
  /** Minimum remaining lease of each endpoint after a pause of this process,
   * and the time between two ticks that counts as a pause. */
  std::chrono::milliseconds mMinLeaseAfterPause{ 1000 };
  /** Minimum interval between two sync requests to one instance that renews
   * unknown entries. */
  std::chrono::milliseconds mMinSyncInterval{ 2000 };
  /** Change in used cores or memory, as a fraction of the capacity, above which
   * a usage report is replicated. */
  double mUsageChangeThreshold = 0.05;
};

/** \brief The endpoints of one data centre, as one of its instances sees them.
 *
 * Endpoints hold leases that they can renew at any instance. Changes are sent
 * to the other instances at the next Tick(). Renewals are sent in batches of
 * short ids, so that a heartbeat costs a few bytes per instance. If two
 * announcements of one name conflict, the higher incarnation wins, regardless
 * of the order of arrival. */
class EndpointTable
  : public EndpointRegistry
  , public EndpointView
{
public:
  /** \param aSenderIncarnation identifies this run of the process; must differ
   * after a restart */
  EndpointTable(const Clock& aClock,
                EndpointTableOptions aOptions,
                DataCentreName aDataCentre,
                std::uint64_t aSenderIncarnation);

  Result<void> Announce(const EndpointAnnouncement& aAnnouncement) override;

  Result<void> Leave(const EndpointName& aName,
                     std::uint64_t aIncarnation) override;

  Result<void> ReportUsage(const EndpointName& aName,
                           const UsageReport& aReport) override;

  /** Merges a message from another instance of the data centre.
   * \return the message to send back, if any */
  std::optional<EndpointMessage> OnMessage(const InstanceName& aFrom,
                                           const EndpointMessage& aMessage);

  /** Returns the message that requests all entries of another instance. */
  EndpointMessage SyncRequest() const;

  /** Removes endpoints with expired leases and returns the messages to send to
   * each other instance. */
  std::vector<EndpointMessage> Tick();

  std::vector<Endpoint> EndpointsOf(const ServiceName& aService) const override;
  std::vector<Endpoint> AllEndpoints() const override;
  void Observe(Observer aObserver) override;

  std::size_t Size() const;

private:
  struct Record
  {
    Endpoint mEndpoint;
    Clock::Monotonic mExpiry{};
    /** Id under which this instance sends renewals of the entry; zero before
     * the first announcement of the endpoint at this instance. */
    std::uint32_t mRenewalId = 0;
    /** Usage report last sent to the other instances. */
    std::optional<UsageReport> mLastSentUsage;
  };

  /** An endpoint that left and whose lease has ended. */
  struct DepartedEndpoint
  {
    std::uint64_t mIncarnation = 0;
    Clock::Monotonic mRetainUntil{};
  };

  /** Renewal ids that another instance assigned to its entries. */
  struct SenderRenewalIds
  {
    std::uint64_t mIncarnation = 0;
    std::unordered_map<std::uint32_t, EndpointName> mNames;
    std::optional<Clock::Monotonic> mLastSyncRequest;
  };

  using Changes = std::vector<EndpointChange>;

  Result<void> CheckAnnouncement(const EndpointAnnouncement& aAnnouncement,
                                 Clock::Monotonic aNow) const;
  void MergeEntry(const InstanceName& aFrom,
                  const EndpointEntry& aEntry,
                  Clock::Monotonic aNow,
                  Changes& aChanges);
  bool IsSyncDue(const InstanceName& aFrom, Clock::Monotonic aNow);
  bool MergeRenewals(const InstanceName& aFrom,
                     const EndpointMessage& aMessage,
                     Clock::Monotonic aNow);
  void MarkLeaving(Record& aRecord, Changes& aChanges);
  void ExpireLeases(Clock::Monotonic aNow, Changes& aChanges);
  void ExtendLeasesAfterPause(Clock::Monotonic aNow);
  Record& Insert(const Endpoint& aEndpoint, Changes& aChanges);
  void Erase(const EndpointName& aName,
             Clock::Monotonic aNow,
             Changes& aChanges);
  EndpointMessage AllEntries(Clock::Monotonic aNow) const;
  EndpointEntry EntryOf(const Record& aRecord, Clock::Monotonic aNow) const;
  bool IsDeparted(const EndpointName& aName, std::uint64_t aIncarnation) const;
  bool IsUsageChangeSignificant(const Record& aRecord) const;
  void NotifyObservers(const Changes& aChanges);

  const Clock& mClock;
  EndpointTableOptions mOptions;
  DataCentreName mDataCentre;
  std::uint64_t mSenderIncarnation;

  // Held while a change is made and the observers are notified, so that they
  // see the changes in order.
  std::mutex mDeliveryMutex;
  std::vector<Observer> mObservers;

  mutable std::mutex mMutex;
  std::unordered_map<EndpointName, Record> mRecords;
  std::map<ServiceName, std::set<EndpointName>> mByService;
  std::unordered_map<EndpointName, DepartedEndpoint> mDeparted;
  std::map<InstanceName, SenderRenewalIds> mRenewalIdsBySender;
  /** Endpoints to send at the next Tick(). */
  std::set<EndpointName> mUnsentChanges;
  /** Renewal ids to send with the next batch. */
  std::set<std::uint32_t> mUnsentRenewalIds;
  std::uint32_t mLastRenewalId = 0;
  std::optional<Clock::Monotonic> mLastTick;
  std::optional<Clock::Monotonic> mLastRenewals;
};

}
