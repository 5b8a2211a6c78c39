#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Base/InstanceIdentity.h"

namespace almondspoke {

/** Name of an endpoint, unique in its data centre. */
using EndpointName = std::string;

/** Name of a service that callers address. */
using ServiceName = std::string;

/** \brief Properties that an endpoint registers with an instance. */
struct EndpointAnnouncement
{
  EndpointName mName;
  ServiceName mService;
  /** IP address and port, for example "127.0.0.1:8080". */
  std::string mAddress;
  std::uint32_t mSlots = 0;
  std::uint32_t mConnections = 0;
  /** CPU cores of a worker; zero for a runner. */
  double mCores = 0;
  std::uint64_t mMemoryBytes = 0;
  std::uint32_t mAccelerators = 0;
  std::string mRack;
  /** Lease duration; the endpoint is removed if it does not renew in time. */
  std::chrono::milliseconds mTimeToLive{ 0 };
  /** Increases with each start of the endpoint; the higher value wins if two
   * announcements of one name conflict. */
  std::uint64_t mIncarnation = 0;
};

/** \brief Resource usage of a worker as measured by the platform. */
struct UsageReport
{
  double mCoresUsed = 0;
  std::uint64_t mMemoryUsedBytes = 0;
  std::uint32_t mAcceleratorsUsed = 0;
  /** Wall-clock time of the measurement, in ms since the Unix epoch. */
  std::int64_t mMeasuredAtMilliseconds = 0;
};

/** \brief An endpoint whose lease has not expired. */
struct Endpoint
{
  EndpointAnnouncement mAnnouncement;
  DataCentreName mDataCentre;
  /** True once the endpoint has announced that it is shutting down. */
  bool mLeaving = false;
  std::optional<UsageReport> mUsage;
};

/** \brief A change to the endpoint table, passed to its observers. */
struct EndpointChange
{
  enum class Kind
  {
    Added,
    Updated,
    Leaving,
    Removed
  };

  Kind mKind = Kind::Added;
  Endpoint mEndpoint;
};

/** \brief Read access to the endpoints of this data centre; thread-safe. */
class EndpointView
{
public:
  using Observer = std::function<void(const EndpointChange& aChange)>;

  virtual ~EndpointView() = default;

  /** All endpoints of a service that are neither leaving nor expired. */
  virtual std::vector<Endpoint> EndpointsOf(
    const ServiceName& aService) const = 0;

  virtual std::vector<Endpoint> AllEndpoints() const = 0;

  /** Registers an observer. It is called without the lock on the
   * table's data, in the order of the changes to each endpoint. */
  virtual void Observe(Observer aObserver) = 0;
};

}
