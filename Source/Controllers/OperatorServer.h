#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "Base/DecisionLog.h"
#include "Base/Result.h"
#include "Controllers/RulesService.h"
#include "Controllers/VotersService.h"
#include "Membership/Endpoint.h"
#include "Membership/InstanceView.h"

namespace almondspoke {

/** \brief Address and limits of the operators' interface. */
struct OperatorServerOptions
{
  /** IP address to listen on. */
  std::string mAddress = "127.0.0.1";
  /** Port to listen on; zero selects a free port. */
  std::uint16_t mPort = 0;
  std::size_t mMaxBodyBytes = std::size_t{ 8 } << 20;
  std::size_t mMaxConnections = 64;
  /** Number of threads that run the methods; a change blocks its thread until
   * the group has agreed on it. */
  std::size_t mThreads = 4;
};

/** \brief Serves the operators' JSON-RPC interface over HTTP, `POST /rpc`. */
class OperatorServer
{
public:
  OperatorServer(OperatorServerOptions aOptions,
                 RulesService& aRules,
                 VotersService& aVoters,
                 const InstanceView& aInstances,
                 const EndpointView& aEndpoints,
                 const DecisionLog& aDecisions);
  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;
  ~OperatorServer();

  /** Starts listening. Errors: InvalidSettings, naming the address. */
  Result<void> Start();

  /** Stops listening and waits for the methods that are running. */
  void Stop();

  /** Port that the server listens on, after Start(). */
  std::uint16_t Port() const;

private:
  class Implementation;
  std::unique_ptr<Implementation> mImplementation;
};

}
