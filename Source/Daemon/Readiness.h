#pragma once

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace almondspoke {

/** \brief Tracks whether the load balancer should send requests to this
 * instance. */
class Readiness
{
public:
  /** Returns why the instance is not ready; no value if it is ready. */
  using Condition = std::function<std::optional<std::string>()>;

  /** Adds a condition. Must be called before the server starts. */
  void Add(Condition aCondition)
  {
    mConditions.push_back(std::move(aCondition));
  }

  /** Marks the instance as not ready; it still serves requests. */
  void StartDraining() { mDraining = true; }
  bool IsDraining() const { return mDraining; }

  /** Returns why the instance is not ready; no value if it is ready. */
  std::optional<std::string> NotReadyReason() const;

private:
  std::vector<Condition> mConditions;
  std::atomic<bool> mDraining{ false };
};

}
