#include "Controllers/ConfigurationSync.h"

#include <string>

#include <glog/logging.h>

#include "Controllers/Configuration.h"

namespace almondspoke {

namespace {

constexpr const char* kFetchMethod = "configuration.current";

Result<std::string>
CurrentRules(const RulesPublisher& aPublisher)
{
  if (!aPublisher.IsReady()) {
    return Error(
      ErrorKind::NotReady,
      "this instance has not confirmed the current rules version yet");
  }
  const PublishedRules published = aPublisher.CurrentWithText();
  return EncodeRulesText({ published.mRuleSet->Version(), published.mText });
}

Result<void>
PublishPeerRules(RulesPublisher& aPublisher, Result<std::string> aResponse)
{
  BOOST_OUTCOME_TRY(encoded, std::move(aResponse));
  BOOST_OUTCOME_TRY(rules, DecodeRulesText(encoded));
  return aPublisher.OnPeerConfiguration(rules);
}

}

ConfigurationSync::ConfigurationSync(PeerRpc& aRpc, RulesPublisher& aPublisher)
  : mRpc(aRpc)
  , mPublisher(aPublisher)
  , mIsFetching(std::make_shared<std::atomic<bool>>(false))
{
  mRpc.Register(kFetchMethod,
                [&publisher = mPublisher](const InstanceName&,
                                          const std::string&,
                                          const PeerRpc::Done& aDone) {
                  aDone(CurrentRules(publisher));
                });
}

void
ConfigurationSync::OnPeerVersion(const InstanceName& aPeer,
                                 RulesVersion aVersion)
{
  mPublisher.RecordKnownVersion(aVersion);
  if (!mPublisher.IsBehind() || mIsFetching->exchange(true)) {
    return;
  }
  mRpc.Call(aPeer,
            kFetchMethod,
            "",
            kFetchTimeout,
            [peer = aPeer, &publisher = mPublisher, fetching = mIsFetching](
              Result<std::string> aResponse) {
              const Result<void> taken =
                PublishPeerRules(publisher, std::move(aResponse));
              if (!taken) {
                LOG(WARNING) << "cannot fetch the rules from " << peer << ": "
                             << taken.error().Message();
              }
              *fetching = false;
            });
}

}
