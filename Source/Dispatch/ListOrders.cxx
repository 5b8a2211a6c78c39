#include "Dispatch/ListOrders.h"

namespace almondspoke::dispatch {

void
ListOrders::OnSent(std::uint64_t aOrder)
{
  mOpen.insert(aOrder);
}

// What this order may need is kept, since its list is processed afterwards.
void
ListOrders::OnEnded(std::uint64_t aOrder)
{
  const auto isNeeded = [this](std::uint64_t aLastSent) {
    return !mOpen.empty() && *mOpen.begin() <= aLastSent;
  };
  while (!mByOrder.empty() && !isNeeded(mByOrder.front().first)) {
    const auto over = mOver.find(mByOrder.front().second);
    if (over != mOver.end() && over->second == mByOrder.front().first) {
      mOver.erase(over);
    }
    mByOrder.pop_front();
  }
  mOpen.erase(aOrder);
}

void
ListOrders::NoteOver(const RunId& aRun)
{
  if (mOpen.empty()) {
    return;
  }
  const Key key{ aRun.mTask, aRun.mNumber };
  const std::uint64_t lastSent = *mOpen.rbegin();
  mOver[key] = lastSent;
  mByOrder.emplace_back(lastSent, key);
}

bool
ListOrders::IsOutOfDate(const RunId& aRun, std::uint64_t aOrder) const
{
  const auto over = mOver.find({ aRun.mTask, aRun.mNumber });
  return over != mOver.end() && aOrder <= over->second;
}

}
