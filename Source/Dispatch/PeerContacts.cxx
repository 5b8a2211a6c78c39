#include "Dispatch/PeerContacts.h"

#include <iterator>

namespace almondspoke::dispatch {

namespace {

constexpr std::chrono::milliseconds kExpiry{ 6000 };

}

void
PeerContacts::OnNamed(const std::vector<InstanceName>& aPeers, TimePoint aNow)
{
  for (const InstanceName& peer : aPeers) {
    mNamed[peer] = aNow;
  }
}

void
PeerContacts::Expire(TimePoint aNow)
{
  Expire(mContacted, aNow);
  Expire(mNamed, aNow);
}

void
PeerContacts::Expire(Times& aTimes, TimePoint aNow)
{
  for (auto peer = aTimes.begin(); peer != aTimes.end();) {
    const bool isExpired = aNow - peer->second > kExpiry;
    peer = isExpired ? aTimes.erase(peer) : std::next(peer);
  }
}

std::vector<InstanceName>
PeerContacts::Contacted() const
{
  std::vector<InstanceName> peers;
  for (const auto& [peer, seen] : mContacted) {
    peers.push_back(peer);
  }
  return peers;
}

std::set<InstanceName>
PeerContacts::All() const
{
  std::set<InstanceName> peers = mSeeds;
  for (const Times* times : { &mContacted, &mNamed }) {
    for (const auto& [peer, seen] : *times) {
      peers.insert(peer);
    }
  }
  return peers;
}

}
