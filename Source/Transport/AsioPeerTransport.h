#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include "Base/InstanceIdentity.h"
#include "Base/Result.h"
#include "Transport/PeerLink.h"
#include "Transport/PeerSessionTable.h"
#include "Transport/PeerTransport.h"
#include "Transport/RequestMemory.h"

namespace almondspoke {

/** \brief Name of another instance and the address that it listens on. */
struct PeerAddress
{
  InstanceName mName;
  asio::ip::tcp::endpoint mAddress;
};

/** Returns the address of an instance that is not in the settings, or nothing
 * if the name cannot be resolved. Called with the transport's lock held. */
using PeerResolver = std::function<std::optional<asio::ip::tcp::endpoint>(
  const InstanceName& aName)>;

/** \brief PeerTransport over TCP.
 *
 * Opens one outgoing connection to each peer. Accepts incoming connections only
 * from peers that are listed in the settings or known to the resolver. Answers
 * are sent back on the incoming connection. */
class AsioPeerTransport : public PeerTransport
{
public:
  AsioPeerTransport(asio::io_context& aContext,
                    InstanceIdentity aSelf,
                    asio::ip::tcp::endpoint aListen,
                    const std::vector<PeerAddress>& aPeers,
                    const PeerTimings& aTimings = {},
                    const PeerLimits& aLimits = {});
  ~AsioPeerTransport() override;

  AsioPeerTransport(const AsioPeerTransport&) = delete;
  AsioPeerTransport& operator=(const AsioPeerTransport&) = delete;

  /** Allows instances that are not in the settings. The connection to such an
   * instance is opened on first use. Must be called before Start(). */
  void AllowUnlistedPeers(PeerResolver aResolver);

  /** Binds the listening port. Returns InvalidSettings if it is in use. */
  Result<void> Listen();

  /** Starts accepting connections and connecting to the peers. */
  void Start();

  /** Closes all connections asynchronously. Before the object is destroyed, the
   * io_context must have run the closing handlers or have been stopped. */
  void Stop();

  void Send(const InstanceName& aTo, PeerFrame aFrame) override;
  bool IsConnected(const InstanceName& aTo) const override;
  std::uint64_t ConnectionNumber(const InstanceName& aTo) const override;
  void Subscribe(PeerChannel aChannel, Handler aHandler) override;

  const PeerTraffic& Traffic() const { return mTraffic; }

  /** Returns the listening port; needed by tests that bind port zero. */
  std::uint16_t ListenPort() const;

private:
  friend class PeerSession;

  void Accept();
  void Deliver(const InstanceName& aFrom, const PeerFrame& aFrame) const;
  bool IsPeer(const InstanceName& aName) const;
  std::shared_ptr<PeerLink> MakeLink(const PeerAddress& aPeer) const;
  /** Returns the link to an instance, which is created if the resolver knows
   * the instance; null otherwise. */
  std::shared_ptr<PeerLink> LinkTo(const InstanceName& aName) const;
  /** Removes a link without a connection. Returns false if there is none. */
  bool RemoveLostLink() const;
  std::shared_ptr<PeerLink> ExistingLink(const InstanceName& aName) const;
  void AcceptSession(asio::ip::tcp::socket aSocket);

  asio::io_context& mContext;
  InstanceIdentity mSelf;
  asio::ip::tcp::endpoint mListen;
  asio::ip::tcp::acceptor mAcceptor;
  asio::steady_timer mAcceptTimer;
  const PeerTimings mTimings;
  const PeerLimits mLimits;
  const std::string mHello;
  PeerResolver mResolver;
  mutable std::mutex mLinksMutex;
  mutable std::map<InstanceName, std::shared_ptr<PeerLink>> mLinks;
  std::array<Handler, static_cast<std::size_t>(kLastPeerChannel) + 1> mHandlers;
  mutable PeerTraffic mTraffic;
  PeerSessionTable mSessions;
  const std::shared_ptr<detail::RequestMemory> mFrameMemory;
};

}
