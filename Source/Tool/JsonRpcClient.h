#pragma once

#include <functional>
#include <string>

namespace almondspoke {
namespace tool {

/** \brief The outcome of a JSON-RPC call. */
struct JsonRpcOutcome
{
  enum class Kind
  {
    /** The call succeeded: mJson is the result. */
    Result,
    /** The server returned an error: mMessage is its message, mJson its data.
     */
    Error,
    /** No valid response arrived: mMessage is the reason. */
    Failed
  };

  Kind mKind = Kind::Failed;
  std::string mJson;
  std::string mMessage;
};

/** \brief Calls JSON-RPC 2.0 methods through a transport.
 *
 * JsonRpcClient.cxx is compiled as C++14, because the client header of the
 * JSON-RPC library uses dynamic exception specifications, which C++17 removed.
 * This header does not include the library and works with any standard. */
class JsonRpcClient
{
public:
  /** Sends the text of a request and stores the text of the response. Returns
   * false, with the reason in aResponse, if there is no response. */
  using Transport =
    std::function<bool(const std::string& aRequest, std::string& aResponse)>;

  explicit JsonRpcClient(Transport aTransport);

  /** Calls a method and returns the outcome.
   * \param aParameters parameters as a JSON object. */
  JsonRpcOutcome Call(const std::string& aMethod,
                      const std::string& aParameters) const;

private:
  Transport mTransport;
};

}
}
