#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "Consensus/StateMachine.h"
#include "Dispatch/DispatchState.h"

namespace almondspoke::dispatch {

/** \brief Replicated state machine for a DispatchState.
 *
 * A manifest replaces the current one only if its version is higher. Apply() is
 * called on the consensus group's thread, the getters on any thread. */
class DispatchStateMachine : public StateMachine
{
public:
  using Observer = std::function<void(std::shared_ptr<const Manifest>)>;

  /** \param aObserver called on the consensus group's thread with each new
   *        manifest */
  explicit DispatchStateMachine(Observer aObserver);

  static std::string CommandOf(const Manifest& aManifest);
  static std::string CommandOf(const RecordBatch& aBatch);
  /** Returns whether the response to a RecordBatch says that the batch was
   * applied. */
  static bool WasApplied(const std::string& aResponse);

  std::string Apply(LogIndex aIndex, std::string_view aCommand) override;
  std::string TakeSnapshot() const override;
  Result<void> RestoreSnapshot(std::string_view aSnapshot) override;

  /** The current manifest, or null if there is none. */
  std::shared_ptr<const Manifest> CurrentManifest() const;
  DispatchState CurrentState() const;

private:
  std::string ApplyManifest(const Manifest& aManifest);

  const Observer mObserver;
  mutable std::mutex mMutex;
  DispatchState mState;
};

}
