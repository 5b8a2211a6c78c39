#pragma once

#include <atomic>
#include <chrono>
#include <memory>

#include "Controllers/RulesPublisher.h"
#include "Transport/PeerRpc.h"

namespace almondspoke {

/** \brief Fetches the rules from a peer that uses a newer version.
 *
 * An instance that cannot reach the group, for example because its data centre
 * is partitioned from it, gets the agreed rules this way. Peers that are not
 * ready themselves refuse the request. A peer may not have the latest version,
 * so rules fetched from it do not make this instance ready. */
class ConfigurationSync
{
public:
  static constexpr std::chrono::milliseconds kFetchTimeout =
    std::chrono::seconds(1);

  /** Registers the RPC method that peers call to fetch the rules. */
  ConfigurationSync(PeerRpc& aRpc, RulesPublisher& aPublisher);

  /** Records the version that a peer reports, and fetches the rules from that
   * peer if this instance does not serve the highest known version yet. */
  void OnPeerVersion(const InstanceName& aPeer, RulesVersion aVersion);

private:
  PeerRpc& mRpc;
  RulesPublisher& mPublisher;
  /** True while a fetch is in progress; only one runs at a time. */
  std::shared_ptr<std::atomic<bool>> mIsFetching;
};

}
