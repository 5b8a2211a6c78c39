#include "Tool/JsonRpcClient.h"

#include <utility>

#include <json/json.h>
#include <jsonrpccpp/client.h>

#include "Base/JsonCpp.h"

namespace almondspoke {
namespace tool {

namespace {

/** \brief Adapts the transport to the connector interface of the library. */
class Connector : public jsonrpc::IClientConnector
{
public:
  explicit Connector(const JsonRpcClient::Transport& aTransport)
    : mTransport(aTransport)
  {
  }

  void SendRPCMessage(const std::string& aMessage, std::string& aResult) throw(
    jsonrpc::JsonRpcException) override
  {
    if (!mTransport(aMessage, aResult)) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                      aResult);
    }
  }

private:
  const JsonRpcClient::Transport& mTransport;
};

std::string
WriteJson(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, aValue);
}

}

JsonRpcClient::JsonRpcClient(Transport aTransport)
  : mTransport(std::move(aTransport))
{
}

JsonRpcOutcome
JsonRpcClient::Call(const std::string& aMethod,
                    const std::string& aParameters) const
{
  JsonRpcOutcome outcome;
  try {
    Connector connector(mTransport);
    jsonrpc::Client client(connector);
    outcome.mJson =
      WriteJson(client.CallMethod(aMethod, ParseJsonCpp(aParameters)));
    outcome.mKind = JsonRpcOutcome::Kind::Result;
  } catch (const jsonrpc::JsonRpcException& error) {
    const int code = error.GetCode();
    // The library uses the same code for a response that is not JSON and for a
    // server that could not parse the request. Both count as a missing
    // response with an unknown outcome, which is the safe interpretation.
    const bool failed =
      code == jsonrpc::Errors::ERROR_CLIENT_CONNECTOR ||
      code == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE ||
      code == jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR;
    outcome.mKind =
      failed ? JsonRpcOutcome::Kind::Failed : JsonRpcOutcome::Kind::Error;
    outcome.mMessage = error.GetMessage();
    outcome.mJson = WriteJson(error.GetData());
  } catch (const std::exception& error) {
    outcome.mMessage = error.what();
  }
  return outcome;
}

}
}
