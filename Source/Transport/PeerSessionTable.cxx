#include "Transport/PeerSessionTable.h"

namespace almondspoke {

std::shared_ptr<PeerSession>
PeerSessionTable::Add(const std::shared_ptr<PeerSession>& aSession)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::shared_ptr<PeerSession> closed;
  if (mSessions.size() >= mMaxSessions) {
    closed = TakeLeastUseful();
  }
  mSessions[aSession.get()] = {
    aSession, false, {}, mUnnamed.insert(mUnnamed.end(), aSession.get())
  };
  return closed;
}

// The session leaves the table at once, so that the next one to be added does
// not choose it again.
std::shared_ptr<PeerSession>
PeerSessionTable::TakeLeastUseful()
{
  const Order& order = mUnnamed.empty() ? mNamed : mUnnamed;
  if (order.empty()) {
    return nullptr;
  }
  const auto found = mSessions.find(order.front());
  std::shared_ptr<PeerSession> session = found->second.mSession.lock();
  Erase(found);
  return session;
}

void
PeerSessionTable::Erase(Sessions::iterator aSession)
{
  const Entry& entry = aSession->second;
  (entry.mIsNamed ? mNamed : mUnnamed).erase(entry.mPosition);
  const auto answers = mAnswersTo.find(entry.mFrom);
  if (answers != mAnswersTo.end() &&
      answers->second.lock().get() == aSession->first) {
    mAnswersTo.erase(answers);
  }
  mSessions.erase(aSession);
}

void
PeerSessionTable::Name(const std::shared_ptr<PeerSession>& aSession,
                       const InstanceName& aFrom,
                       bool aAcceptsAnswers)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mSessions.find(aSession.get());
  if (found == mSessions.end()) {
    return;
  }
  found->second.mIsNamed = true;
  found->second.mFrom = aFrom;
  mNamed.splice(mNamed.end(), mUnnamed, found->second.mPosition);
  if (aAcceptsAnswers) {
    mAnswersTo[aFrom] = aSession;
  }
}

void
PeerSessionTable::Touch(const PeerSession& aSession)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mSessions.find(&aSession);
  if (found != mSessions.end() && found->second.mIsNamed) {
    mNamed.splice(mNamed.end(), mNamed, found->second.mPosition);
  }
}

void
PeerSessionTable::Remove(const PeerSession& aSession)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mSessions.find(&aSession);
  if (found != mSessions.end()) {
    Erase(found);
  }
}

std::shared_ptr<PeerSession>
PeerSessionTable::AnswersTo(const InstanceName& aName) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto session = mAnswersTo.find(aName);
  return session == mAnswersTo.end() ? nullptr : session->second.lock();
}

}
