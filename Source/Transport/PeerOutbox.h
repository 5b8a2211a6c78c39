#pragma once

#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace almondspoke {

/** \brief Frames on their way to the executor of a connection.
 *
 * Frames that are added before the executor takes them are taken, and then
 * written, together. Thread-safe. */
class PeerOutbox
{
public:
  /** Adds an encoded frame. Returns true if the caller has to schedule a call
   * of TakeAll(). */
  bool Add(std::string aFrame)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mFrames.push_back(std::move(aFrame));
    return mFrames.size() == 1;
  }

  std::vector<std::string> TakeAll()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return std::exchange(mFrames, {});
  }

private:
  std::mutex mMutex;
  std::vector<std::string> mFrames;
};

}
