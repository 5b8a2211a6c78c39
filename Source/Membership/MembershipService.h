#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "Base/Clock.h"
#include "Membership/InstanceView.h"
#include "Membership/MembershipCore.h"
#include "Transport/PeerTransport.h"

namespace almondspoke {

/** \brief Runs the membership protocol over the peer transport; thread-safe. */
class MembershipService : public InstanceView
{
public:
  using Observer =
    std::function<void(const std::vector<InstanceStatus>& aInstances)>;

  MembershipService(asio::io_context& aContext,
                    const Clock& aClock,
                    PeerTransport& aTransport,
                    MembershipOptions aOptions,
                    const InstanceIdentity& aSelf,
                    const std::vector<InstanceIdentity>& aSeeds);

  void Start();
  void Stop();

  void SetDraining(bool aDraining);
  void SetRulesVersion(std::uint64_t aVersion);

  /** Announces to the other instances that this one shuts down. */
  void Leave();

  /** Registers an observer; must be called before Start(). The observer gets
   * all instances after each change. Calls do not overlap, and must not call
   * SetDraining(), SetRulesVersion() or Leave(). */
  void Observe(Observer aObserver);

  InstanceIdentity Self() const override;
  std::vector<InstanceStatus> Instances() const override;
  std::vector<InstanceName> LiveInstances(
    const DataCentreName& aDataCentre) const override;

private:
  void ScheduleTick();
  void OnFrame(const InstanceName& aFrom, const PeerFrame& aFrame);
  /** Applies an update to the core, sends the resulting messages and notifies
   * the observers of changes. */
  void UpdateCore(const std::function<void(MembershipCore&)>& aUpdate);

  const Clock& mClock;
  PeerTransport& mTransport;
  InstanceIdentity mIdentity;
  asio::steady_timer mTimer;
  std::vector<Observer> mObservers;

  std::mutex mDeliveryMutex;
  mutable std::mutex mMutex;
  MembershipCore mCore;
};

}
