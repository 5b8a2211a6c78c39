#include <chrono>

#include <catch2/catch.hpp>

#include "Dispatch/PeerContacts.h"

using namespace almondspoke;
using almondspoke::dispatch::PeerContacts;
using std::chrono::seconds;

TEST_CASE("Peer contacts: coordinators are forgotten in time, seeds never")
{
  const PeerContacts::TimePoint start{ std::chrono::hours(1) };
  PeerContacts contacts;
  contacts.AddSeed("seed");
  contacts.OnMessage("heard", start);
  contacts.OnNamed({ "named", "heard" }, start + seconds(3));
  CHECK(contacts.All() == std::set<InstanceName>{ "heard", "named", "seed" });
  CHECK(contacts.Contacted() == std::vector<InstanceName>{ "heard" });

  contacts.Expire(start + seconds(7));
  CHECK(contacts.Contacted().empty());
  CHECK(contacts.All() == std::set<InstanceName>{ "heard", "named", "seed" });

  contacts.Expire(start + seconds(10));
  CHECK(contacts.All() == std::set<InstanceName>{ "seed" });
}
