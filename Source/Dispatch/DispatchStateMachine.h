#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
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
  using EvacuationObserver = std::function<void()>;

  /** Both observers are called on the consensus group's thread.
   * \param aObserver called with each new manifest
   * \param aEvacuationObserver called after the evacuated data centres may
   *        have changed */
  explicit DispatchStateMachine(Observer aObserver,
                                EvacuationObserver aEvacuationObserver = {});

  static std::string CommandOf(const Manifest& aManifest);
  static std::string CommandOf(const RecordBatch& aBatch);
  static std::string CommandOf(const EvacuationRecord& aRecord);
  /** Returns whether the response to a RecordBatch or an EvacuationRecord says
   * that it was applied. */
  static bool WasApplied(const std::string& aResponse);
  /** Returns the current revision if the response to an EvacuationRecord says
   * that it was outdated. */
  static std::optional<std::uint64_t> RevisionIfOutdated(
    const std::string& aResponse);

  std::string Apply(LogIndex aIndex, std::string_view aCommand) override;
  std::string TakeSnapshot() const override;
  Result<void> RestoreSnapshot(std::string_view aSnapshot) override;

  /** The current manifest, or null if there is none. */
  std::shared_ptr<const Manifest> CurrentManifest() const;
  DispatchState CurrentState() const;
  Evacuations CurrentEvacuations() const;

private:
  std::string ApplyManifest(const Manifest& aManifest);
  std::string ApplyEvacuation(const EvacuationRecord& aRecord);
  void NotifyOfEvacuations() const;

  const Observer mObserver;
  const EvacuationObserver mEvacuationObserver;
  mutable std::mutex mMutex;
  DispatchState mState;
};

}
