#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "Base/Clock.h"
#include "Transport/HttpClient.h"

namespace almondspoke::bench {

/** \brief Selects entry instances round-robin, like a load balancer that skips
 * instances whose /readyz check fails. Thread-safe. */
class TargetPool
{
public:
  TargetPool(asio::io_context& aContext,
             HttpClient& aClient,
             const Clock& aClock,
             const std::vector<std::string>& aTargets);

  /** Starts probing the targets periodically. */
  void Start();
  void Stop();

  /** Returns the next ready target, or the next target if none is ready. */
  const std::string& Next();

  /** Skips a target until its next successful probe. */
  void MarkUnready(const std::string& aTarget);

  std::size_t Size() const { return mTargets.size(); }

private:
  struct Target
  {
    std::string mAddress;
    std::atomic<bool> mIsReady{ true };
    std::atomic<bool> mIsProbed{ false };
  };

  void ProbeAll();
  void Probe(Target& aTarget);

  asio::steady_timer mTimer;
  HttpClient& mClient;
  const Clock& mClock;
  std::vector<std::unique_ptr<Target>> mTargets;
  std::atomic<std::size_t> mNext{ 0 };
  std::atomic<bool> mIsStopped{ false };
};

}
