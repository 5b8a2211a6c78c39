#pragma once

#include <map>
#include <string>
#include <utility>

#include "Transport/PeerRpc.h"

namespace almondspoke::testing {

/** \brief A PeerRpc that calls the handlers of other FakePeerRpc objects
 * synchronously. While mHold is set, a call is not delivered and its callback
 * and request are kept in mHeld and mHeldRequest. */
class FakePeerRpc : public PeerRpc
{
public:
  void Call(const InstanceName& aTo,
            const std::string& aMethod,
            std::string aRequest,
            std::chrono::milliseconds,
            Done aDone) override
  {
    ++mCalls;
    if (mHold) {
      mHeld = std::move(aDone);
      mHeldRequest = std::move(aRequest);
      return;
    }
    const auto named = mPeers.find(aTo);
    FakePeerRpc* const peer = named == mPeers.end() ? mPeer : named->second;
    if (peer == nullptr) {
      aDone(Error(ErrorKind::PeerUnreachable, "cut off"));
      return;
    }
    peer->mHandlers.at(aMethod)("me", aRequest, std::move(aDone));
  }

  void Register(const std::string& aMethod, Handler aHandler) override
  {
    mHandlers[aMethod] = std::move(aHandler);
  }

  /** The peer for names that are not in mPeers; null if unreachable. */
  FakePeerRpc* mPeer = nullptr;
  std::map<InstanceName, FakePeerRpc*> mPeers;
  bool mHold = false;
  Done mHeld;
  std::string mHeldRequest;
  int mCalls = 0;
  std::map<std::string, Handler> mHandlers;
};

}
