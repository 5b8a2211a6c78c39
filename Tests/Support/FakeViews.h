#pragma once

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "Membership/Endpoint.h"
#include "Membership/InstanceView.h"

namespace almondspoke::testing {

/** \brief An InstanceView whose contents the test sets. */
class FakeInstanceView : public InstanceView
{
public:
  InstanceIdentity Self() const override { return mSelf; }
  std::vector<InstanceStatus> Instances() const override { return mInstances; }

  std::vector<InstanceName> LiveInstances(
    const DataCentreName& aDataCentre) const override
  {
    std::vector<InstanceName> names;
    for (const InstanceStatus& status : mInstances) {
      if (status.mHealth == InstanceHealth::Alive &&
          status.mIdentity.mDataCentre == aDataCentre) {
        names.push_back(status.mIdentity.mName);
      }
    }
    std::sort(names.begin(), names.end());
    return names;
  }

  InstanceIdentity mSelf{ "zagreb-1", "zagreb", 1 };
  std::vector<InstanceStatus> mInstances;
};

/** \brief An EndpointView whose contents the test sets. */
class FakeEndpointView : public EndpointView
{
public:
  std::vector<Endpoint> EndpointsOf(const ServiceName& aService) const override
  {
    std::vector<Endpoint> found;
    std::copy_if(mEndpoints.begin(),
                 mEndpoints.end(),
                 std::back_inserter(found),
                 [&aService](const Endpoint& aEndpoint) {
                   return aEndpoint.mAnnouncement.mService == aService;
                 });
    return found;
  }

  std::vector<Endpoint> AllEndpoints() const override { return mEndpoints; }
  void Observe(Observer) override {}

  std::vector<Endpoint> mEndpoints;
};

}
