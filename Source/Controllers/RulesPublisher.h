#pragma once

#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "Base/Clock.h"
#include "Controllers/ConfigurationObserver.h"
#include "Controllers/ServedVersionStore.h"
#include "Rules/RuleSet.h"

namespace almondspoke {

/** \brief The rules that an instance uses, with their text.
 */
struct PublishedRules
{
  std::string mText;
  std::shared_ptr<const RuleSet> mRuleSet;
};

/** \brief Provides the current rules to the request path.
 *
 * The served version never decreases. It counts as confirmed once the group or
 * the peers have confirmed the highest known version and this instance serves
 * it. From then on the instance is ready unless it has been behind the highest
 * known version for longer than kBehindGracePeriod, or its replica has been
 * reset to an older version. */
class RulesPublisher : public ConfigurationObserver
{
public:
  /** How long a ready instance may be behind the highest known version. */
  static constexpr std::chrono::milliseconds kBehindGracePeriod =
    std::chrono::seconds(3);

  /** \param aStore stores each version before it is served; null to store none.
   * It must outlive the publisher, and the publisher must outlive the thread of
   * the store. */
  explicit RulesPublisher(const Clock& aClock,
                          ServedVersionStore* aStore = nullptr);

  void OnConfiguration(const RulesText& aRules) override;

  /** Publishes the rules of a peer once their version has been stored. This
   * confirms no version, since the peer may be behind. Errors: InvalidRules. */
  Result<void> OnPeerConfiguration(const RulesText& aRules);

  /** Records a version that a peer reports. */
  void RecordKnownVersion(RulesVersion aVersion);

  /** Records a confirmation by the group or the peers that this instance cannot
   * have served a higher version than the highest known one before. */
  void ConfirmHighestKnownVersion();

  /** The current rules; never null. */
  std::shared_ptr<const RuleSet> Current() const;

  /** The current rules with their text. */
  PublishedRules CurrentWithText() const;

  RulesVersion ServedVersion() const { return Current()->Version(); }

  /** The highest version reported by a peer or the group. */
  RulesVersion HighestKnownVersion() const;

  /** True if a peer or the group has reported a newer version than the served
   * one. */
  bool IsBehind() const;

  /** True once a confirmed version is served here; never false again
   * afterwards. */
  bool IsVersionConfirmed() const;

  bool IsReady() const;

private:
  Result<void> Publish(const RulesText& aRules);
  void Serve(const PublishedRules& aRules);
  void UpdateState();

  const Clock& mClock;
  ServedVersionStore* const mStore;
  mutable std::mutex mMutex;
  PublishedRules mPublished;
  bool mIsHighestKnownConfirmed = false;
  bool mIsVersionConfirmed = false;
  /** Highest version reported by a peer or the group. */
  RulesVersion mHighestKnown = 0;
  /** Highest and latest version reported by the local replica. The latest is
   * lower after an older snapshot was restored. */
  RulesVersion mHighestGroupVersion = 0;
  RulesVersion mLatestGroupVersion = 0;
  std::optional<Clock::Monotonic> mBehindSince;
};

}
