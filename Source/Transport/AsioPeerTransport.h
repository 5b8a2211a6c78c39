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

#include "Base/InstanceIdentity.h"
#include "Base/Result.h"
#include "Transport/PeerLink.h"
#include "Transport/PeerTransport.h"

namespace almondspoke {

/** \brief Where another instance listens for its peers. */
struct PeerAddress
{
  InstanceName mName;
  asio::ip::tcp::endpoint mAddress;
};

/** Finds the address of an instance that no list names; nothing if the name
 * leads to none. Called under the transport's lock. */
using PeerResolver = std::function<std::optional<asio::ip::tcp::endpoint>(
  const InstanceName& aName)>;

class PeerSession;

/** \brief PeerTransport over TCP: one outgoing connection to each peer, and
 * incoming connections only from the peers that the settings name or that a
 * resolver knows. Answers go back on the incoming connection. */
class AsioPeerTransport : public PeerTransport
{
public:
  AsioPeerTransport(asio::io_context& aContext,
                    InstanceIdentity aSelf,
                    asio::ip::tcp::endpoint aListen,
                    const std::vector<PeerAddress>& aPeers,
                    const PeerTimings& aTimings = {});
  ~AsioPeerTransport() override;

  AsioPeerTransport(const AsioPeerTransport&) = delete;
  AsioPeerTransport& operator=(const AsioPeerTransport&) = delete;

  /** Lets instances that no list names take part; a connection to one of them
   * is opened when it is first sent to. Called before Start(). */
  void AllowUnlisted(PeerResolver aResolver);

  /** Binds the listening port; InvalidSettings if it is in use. */
  Result<void> Listen();

  /** Accepts connections and opens those to the peers. */
  void Start();

  /** Closes all connections. The io_context must have stopped, or run on,
   * before the object is destroyed. */
  void Stop();

  void Send(const InstanceName& aTo, PeerFrame aFrame) override;
  bool IsConnected(const InstanceName& aTo) const override;
  std::uint64_t ConnectionNumber(const InstanceName& aTo) const override;
  void Subscribe(PeerChannel aChannel, Handler aHandler) override;

  const PeerTraffic& Traffic() const { return mTraffic; }

  /** Port that the transport listens on, for tests that bind port zero. */
  std::uint16_t ListenPort() const;

private:
  friend class PeerSession;

  void Accept();
  void Deliver(const InstanceName& aFrom, const PeerFrame& aFrame) const;
  bool IsPeer(const InstanceName& aName) const;
  std::shared_ptr<PeerLink> MakeLink(const PeerAddress& aPeer) const;
  /** The link to an instance, opened if a resolver knows it; or null. */
  std::shared_ptr<PeerLink> LinkTo(const InstanceName& aName) const;
  std::shared_ptr<PeerLink> ExistingLink(const InstanceName& aName) const;
  /** The open connection from an instance that takes answers, or null. */
  std::shared_ptr<PeerSession> SessionFrom(const InstanceName& aName) const;
  void OnSession(const InstanceName& aFrom,
                 const std::shared_ptr<PeerSession>& aSession);
  void OnSessionClosed(const InstanceName& aFrom, const PeerSession& aSession);

  asio::io_context& mContext;
  InstanceIdentity mSelf;
  asio::ip::tcp::endpoint mListen;
  asio::ip::tcp::acceptor mAcceptor;
  const PeerTimings mTimings;
  const std::string mHello;
  PeerResolver mResolver;
  mutable std::mutex mLinksMutex;
  mutable std::map<InstanceName, std::shared_ptr<PeerLink>> mLinks;
  std::array<Handler, static_cast<std::size_t>(kLastPeerChannel) + 1> mHandlers;
  mutable PeerTraffic mTraffic;
  mutable std::mutex mSessionsMutex;
  std::map<InstanceName, std::weak_ptr<PeerSession>> mSessions;
};

}
