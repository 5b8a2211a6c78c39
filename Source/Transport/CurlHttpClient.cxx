#include "Transport/CurlHttpClient.h"

#include <algorithm>
#include <optional>

#include <curl/curl.h>

#include "Transport/ConnectionShares.h"
#include "Transport/CurlShard.h"

namespace almondspoke {

namespace {

// libcurl's global state has to be initialized once, before other threads run.
void
InitializeLibrary()
{
  static const CURLcode initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(initialized);
}

}

CurlHttpClient::CurlHttpClient(asio::io_context& aContext,
                               const HttpClientOptions& aOptions)
{
  InitializeLibrary();
  const std::size_t count = std::max<std::size_t>(1, aOptions.mShards);
  mShares = std::make_shared<detail::ConnectionShares>(count);
  for (std::size_t i = 0; i < count; ++i) {
    AddShard(aContext, aOptions);
  }
}

CurlHttpClient::CurlHttpClient(const std::vector<asio::io_context*>& aContexts,
                               const HttpClientOptions& aOptions)
  : mContexts(aContexts)
  , mShares(std::make_shared<detail::ConnectionShares>(aContexts.size()))
{
  InitializeLibrary();
  for (asio::io_context* context : aContexts) {
    AddShard(*context, aOptions);
  }
}

CurlHttpClient::~CurlHttpClient() = default;

HttpClient::AttemptId
CurlHttpClient::Start(HttpAttempt aAttempt, Done aDone)
{
  const std::size_t preferred = PreferredShard(aAttempt.mAddress);
  const std::optional<std::size_t> acquired =
    mShares->Acquire(aAttempt.mAddress, preferred, aAttempt.mMaxConnections);
  const std::size_t shard = acquired.value_or(preferred);
  const AttemptId id = (++mNextAttempt) * mShards.size() + shard;
  if (acquired) {
    mShards[shard]->Start(id, std::move(aAttempt), std::move(aDone));
  } else {
    mShards[shard]->Refuse(std::move(aDone));
  }
  return id;
}

void
CurlHttpClient::Cancel(AttemptId aAttempt)
{
  mShards[aAttempt % mShards.size()]->Cancel(aAttempt);
}

void
CurlHttpClient::AddShard(asio::io_context& aContext,
                         const HttpClientOptions& aOptions)
{
  mShards.push_back(std::make_shared<detail::CurlShard>(
    aContext, mShards.size(), mShares, aOptions));
}

// Prefers the shard of the current thread, so that a request is forwarded and
// answered on the thread that read it.
std::size_t
CurlHttpClient::PreferredShard(const std::string& aAddress) const
{
  for (std::size_t i = 0; i < mContexts.size(); ++i) {
    if (mContexts[i]->get_executor().running_in_this_thread()) {
      return i;
    }
  }
  return mShares->DefaultShard(aAddress);
}

}
