#include "Dispatch/ListOrders.h"

#include <algorithm>

namespace almondspoke::dispatch {

void
ListOrders::OnSent(std::uint64_t aOrder)
{
  mOpen.push_back(aOrder);
}

// What this order may need is kept, since its list is processed afterwards.
void
ListOrders::OnEnded(std::uint64_t aOrder)
{
  const auto firstNeeded =
    std::find_if(mOver.begin(), mOver.end(), [this](const Over& aOver) {
      return !mOpen.empty() && mOpen.front() <= aOver.mLastSent;
    });
  mOver.erase(mOver.begin(), firstNeeded);
  const auto open = std::find(mOpen.begin(), mOpen.end(), aOrder);
  if (open != mOpen.end()) {
    mOpen.erase(open);
  }
}

void
ListOrders::NoteOver(const RunId& aRun)
{
  if (!mOpen.empty()) {
    mOver.push_back({ aRun, mOpen.back() });
  }
}

bool
ListOrders::IsOutOfDate(const RunId& aRun, std::uint64_t aOrder) const
{
  return std::any_of(mOver.begin(), mOver.end(), [&](const Over& aOver) {
    return aOrder <= aOver.mLastSent && aOver.mRun.mNumber == aRun.mNumber &&
           aOver.mRun.mTask == aRun.mTask;
  });
}

}
