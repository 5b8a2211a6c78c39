#include "Daemon/PublishedRequestRules.h"

#include <memory>

namespace almondspoke {

namespace {

UrgencyLevel
ToUrgencyLevel(Urgency aUrgency)
{
  switch (aUrgency) {
    case Urgency::First:
      return kUrgencyFirst;
    case Urgency::Normal:
      return kUrgencyNormal;
    case Urgency::Last:
      return kUrgencyLast;
  }
  return kUrgencyNormal;
}

RepeatRule
ToRepeatRule(Repeat aRepeat)
{
  switch (aRepeat) {
    case Repeat::ByCaller:
      return RepeatRule::ByCaller;
    case Repeat::Allowed:
      return RepeatRule::Allowed;
    case Repeat::Never:
      return RepeatRule::Never;
  }
  return RepeatRule::Never;
}

}

PublishedRequestRules::PublishedRequestRules(const RulesPublisher& aPublisher,
                                             const Clock& aClock)
  : mPublisher(aPublisher)
  , mClock(aClock)
{
}

bool
PublishedRequestRules::AreKnown() const
{
  return mPublisher.IsVersionConfirmed();
}

RequestPolicy
PublishedRequestRules::PolicyOf(std::string_view aKind) const
{
  const std::shared_ptr<const RuleSet> rules = mPublisher.Current();
  const auto& kind = rules->Kind(aKind);
  RequestPolicy policy;
  policy.mRulesVersion = rules->Version();
  if (kind.mHasUrgency) {
    policy.mUrgency = ToUrgencyLevel(kind.UrgencyAt(mClock.WallNow()));
  }
  policy.mTimeout = kind.mTimeout;
  policy.mRepeat = ToRepeatRule(kind.mRepeat);
  return policy;
}

}
