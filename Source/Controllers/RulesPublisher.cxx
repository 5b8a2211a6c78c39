#include "Controllers/RulesPublisher.h"

#include <algorithm>

#include <glog/logging.h>

namespace almondspoke {

RulesPublisher::RulesPublisher(const Clock& aClock, ServedVersionStore* aStore)
  : mClock(aClock)
  , mStore(aStore)
  , mPublished{ "",
                std::make_shared<const RuleSet>(RulesVersion{ 0 },
                                                std::vector<Rule>{}) }
{
}

void
RulesPublisher::OnConfiguration(const RulesText& aRules)
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mLatestGroupVersion = aRules.mVersion;
    mHighestGroupVersion = std::max(mHighestGroupVersion, aRules.mVersion);
  }
  if (const Result<void> published = Publish(aRules); !published) {
    LOG(ERROR) << "rules version " << aRules.mVersion
               << " is agreed but cannot be parsed; version " << ServedVersion()
               << " remains in use: " << published.error().Message();
  }
}

Result<void>
RulesPublisher::OnPeerConfiguration(const RulesText& aRules)
{
  return Publish(aRules);
}

Result<void>
RulesPublisher::Publish(const RulesText& aRules)
{
  RecordKnownVersion(aRules.mVersion);
  if (aRules.mVersion <= ServedVersion()) {
    return Success();
  }
  // Parsing takes milliseconds, so it is done without holding the lock.
  BOOST_OUTCOME_TRY(ruleSet, RuleSet::FromText(aRules.mVersion, aRules.mText));
  PublishedRules rules{ aRules.mText, std::move(ruleSet) };
  if (mStore == nullptr) {
    Serve(rules);
    return Success();
  }
  mStore->Store(aRules.mVersion,
                [this, rules = std::move(rules)] { Serve(rules); });
  return Success();
}

void
RulesPublisher::Serve(const PublishedRules& aRules)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (aRules.mRuleSet->Version() > mPublished.mRuleSet->Version()) {
    mPublished = aRules;
    LOG(INFO) << "rules version " << aRules.mRuleSet->Version()
              << " is in force";
  }
  UpdateState();
}

void
RulesPublisher::RecordKnownVersion(RulesVersion aVersion)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mHighestKnown = std::max(mHighestKnown, aVersion);
  UpdateState();
}

void
RulesPublisher::UpdateState()
{
  if (mPublished.mRuleSet->Version() >= mHighestKnown) {
    mBehindSince.reset();
    mIsVersionConfirmed = mIsVersionConfirmed || mIsHighestKnownConfirmed;
  } else if (!mBehindSince) {
    mBehindSince = mClock.MonotonicNow();
  }
}

void
RulesPublisher::ConfirmHighestKnownVersion()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mIsHighestKnownConfirmed = true;
  UpdateState();
}

std::shared_ptr<const RuleSet>
RulesPublisher::Current() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mPublished.mRuleSet;
}

PublishedRules
RulesPublisher::CurrentWithText() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mPublished;
}

RulesVersion
RulesPublisher::HighestKnownVersion() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mHighestKnown;
}

bool
RulesPublisher::IsBehind() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mBehindSince.has_value();
}

bool
RulesPublisher::IsVersionConfirmed() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mIsVersionConfirmed;
}

bool
RulesPublisher::IsReady() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (!mIsVersionConfirmed || mLatestGroupVersion < mHighestGroupVersion) {
    return false;
  }
  return !mBehindSince ||
         mClock.MonotonicNow() - *mBehindSince <= kBehindGracePeriod;
}

}
