#pragma once

#include <set>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "Base/InstanceIdentity.h"
#include "Membership/EndpointTable.h"
#include "Membership/MembershipService.h"
#include "Transport/PeerTransport.h"

namespace almondspoke {

/** \brief Replicates the endpoint table between the instances of one data
 * centre.
 *
 * A timer sends the table's changes and renewals to all live instances. Each
 * instance that becomes alive is asked for all its entries. */
class EndpointReplication
{
public:
  EndpointReplication(asio::io_context& aContext,
                      PeerTransport& aTransport,
                      MembershipService& aMembership,
                      EndpointTable& aTable);

  void Start();
  void Stop();

private:
  void ScheduleTick();
  void SendChanges();
  void OnFrame(const InstanceName& aFrom, const PeerFrame& aFrame);
  void OnInstances(const std::vector<InstanceStatus>& aInstances);
  void Send(const InstanceName& aTo, const EndpointMessage& aMessage);

  PeerTransport& mTransport;
  MembershipService& mMembership;
  EndpointTable& mTable;
  InstanceIdentity mSelf;
  asio::steady_timer mTimer;
  /** Other live instances of the data centre at the last membership change. */
  std::set<InstanceName> mLivePeers;
};

}
