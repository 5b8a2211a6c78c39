#pragma once

#include <chrono>
#include <functional>
#include <string>

#include "Base/InstanceIdentity.h"
#include "Base/Result.h"

namespace almondspoke {

/** \brief Remote procedure calls between instances.
 *
 * A call ends with the callee's response or Error, with PeerUnreachable if the
 * request was definitely not sent, or with PeerTimeout if it is unknown whether
 * the request took effect. */
class PeerRpc
{
public:
  using Done = std::function<void(Result<std::string>)>;
  using Handler = std::function<
    void(const InstanceName& aFrom, const std::string& aRequest, Done aDone)>;

  virtual ~PeerRpc() = default;

  virtual void Call(const InstanceName& aTo,
                    const std::string& aMethod,
                    std::string aRequest,
                    std::chrono::milliseconds aTimeout,
                    Done aDone) = 0;

  /** Registers a method. Must be called before the transport starts. */
  virtual void Register(const std::string& aMethod, Handler aHandler) = 0;
};

}
