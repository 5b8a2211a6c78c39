#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "Consensus/StateMachine.h"
#include "Dispatch/DispatchState.h"

namespace almondspoke::dispatch {

/** \brief Replicates a DispatchState.
 *
 * A manifest takes the place of the one before if its version is higher; any
 * other changes nothing. Apply() is called on the group's thread, the getters
 * from any. */
class DispatchStateMachine : public StateMachine
{
public:
  using Observer = std::function<void(std::shared_ptr<const Manifest>)>;

  /** \param aObserver called on the group's thread with each new manifest */
  explicit DispatchStateMachine(Observer aObserver);

  static std::string CommandOf(const Manifest& aManifest);
  static std::string CommandOf(const RecordBatch& aBatch);
  /** Whether the response to a RecordBatch says that it has taken effect. */
  static bool HasTakenEffect(const std::string& aResponse);

  std::string Apply(LogIndex aIndex, std::string_view aCommand) override;
  std::string TakeSnapshot() const override;
  Result<void> RestoreSnapshot(std::string_view aSnapshot) override;

  /** The manifest in force, or null before the first. */
  std::shared_ptr<const Manifest> CurrentManifest() const;
  DispatchState CurrentState() const;

private:
  std::string ApplyManifest(const Manifest& aManifest);

  const Observer mObserver;
  mutable std::mutex mMutex;
  DispatchState mState;
};

}
