#include <memory>
#include <sstream>

#include <catch2/catch.hpp>

#include "Routing/SlotAllocator.h"
#include "Routing/SlotHolder.h"
#include "Routing/SlotMessages.h"
#include "Support/ManualClock.h"

using namespace almondspoke;
using namespace std::chrono_literals;
using almondspoke::testing::ManualClock;

namespace {

const PoolId kEndpointPool{ PoolType::EndpointSlots, "e1" };
const PoolId kTeamPool{ PoolType::TeamSlots, "north" };
constexpr std::uint32_t kSlots = 8;

/** \brief A grantor and holders, connected by a network without faults. */
class SlotCluster
{
public:
  explicit SlotCluster(int aHolders)
  {
    for (int i = 0; i < aHolders; ++i) {
      AddHolder("i" + std::to_string(i), 1);
    }
    ReplaceGrantor();
    mClock.Advance(3s);
  }

  void AddHolder(const InstanceName& aName, std::uint64_t aIncarnation)
  {
    mHolders.push_back(std::make_unique<SlotHolder>(
      mClock,
      InstanceIdentity{ aName, "dc1", aIncarnation },
      SlotHolder::Mode::Leased));
    mPools.push_back(mHolders.back()->Pool(kEndpointPool));
  }

  void ReplaceGrantor()
  {
    mGrantor =
      std::make_unique<SlotAllocator>(mClock, ++mTerm, SlotAllocatorSettings{});
    mGrantor->SetCapacity(kEndpointPool, kSlots);
  }

  void Deliver(const std::vector<SlotReply>& aReplies)
  {
    for (const SlotReply& reply : aReplies) {
      for (auto& holder : mHolders) {
        if (holder && holder->Apply(reply)) {
          Deliver(mGrantor->Handle(holder->BuildRequest()));
        }
      }
    }
  }

  /** Sends one request of a holder, and delivers all messages that result from
   * it. */
  void Send(std::size_t aHolder)
  {
    Deliver(mGrantor->Handle(mHolders[aHolder]->BuildRequest()));
  }

  void SendAll()
  {
    for (std::size_t i = 0; i < mHolders.size(); ++i) {
      if (mHolders[i]) {
        Send(i);
      }
    }
  }

  std::vector<std::uint32_t> Granted() const
  {
    std::vector<std::uint32_t> granted;
    for (const auto& pool : mPools) {
      granted.push_back(pool->Granted());
    }
    return granted;
  }

  ManualClock mClock;
  Term mTerm = 0;
  std::unique_ptr<SlotAllocator> mGrantor;
  std::vector<std::unique_ptr<SlotHolder>> mHolders;
  std::vector<std::shared_ptr<SlotPool>> mPools;
};

using Shares = std::vector<std::uint32_t>;

}

TEST_CASE("Slots: slots without demand are distributed evenly")
{
  SlotCluster cluster(2);
  cluster.SendAll();
  cluster.SendAll();
  CHECK(cluster.Granted() == Shares{ 4, 4 });
}

TEST_CASE("Slots: idle slots move to an instance with demand in one exchange")
{
  SlotCluster cluster(2);
  cluster.SendAll();
  cluster.SendAll();
  cluster.mHolders[1]->AddWanted(kEndpointPool, 4);
  for (int i = 0; i < 4; ++i) {
    REQUIRE(cluster.mPools[1]->TryAcquire(cluster.mClock.MonotonicNow()));
  }
  REQUIRE(cluster.mHolders[1]->IsRequestDue() == false);
  cluster.mClock.Advance(2ms);
  REQUIRE(cluster.mHolders[1]->IsRequestDue());
  cluster.Send(1);
  CHECK(cluster.Granted() == Shares{ 0, 8 });
}

TEST_CASE("Slots: used slots above the fair share are returned when released")
{
  SlotCluster cluster(2);
  cluster.SendAll();
  cluster.mHolders[0]->AddWanted(kEndpointPool, 8);
  cluster.Send(0);
  while (cluster.mPools[0]->TryAcquire(cluster.mClock.MonotonicNow())) {
  }
  REQUIRE(cluster.mPools[0]->InUse() == 8);
  cluster.mHolders[1]->AddWanted(kEndpointPool, 8);
  cluster.Send(1);
  CHECK(cluster.Granted() == Shares{ 8, 0 });
  for (std::uint32_t back = 1; back <= 4; ++back) {
    REQUIRE(cluster.mPools[0]->Release());
    cluster.mHolders[0]->RecordReturnedSlot(kEndpointPool);
    cluster.Send(0);
    CHECK(cluster.Granted() == Shares{ 8 - back, back });
  }
}

TEST_CASE("Slots: the share of a dead instance is reassigned after its lease")
{
  SlotCluster cluster(2);
  cluster.SendAll();
  cluster.SendAll();
  cluster.mHolders[1]->AddWanted(kEndpointPool, 8);
  cluster.mHolders[0] = nullptr;
  cluster.mClock.Advance(1s);
  cluster.Send(1);
  CHECK(cluster.Granted()[1] == 4);
  cluster.mClock.Advance(1999ms);
  cluster.Send(1);
  CHECK(cluster.Granted()[1] == 4);
  cluster.mClock.Advance(1ms);
  cluster.Deliver(cluster.mGrantor->Tick());
  CHECK(cluster.Granted()[1] == 8);
}

TEST_CASE("Slots: a holder stops using its share before the lease ends")
{
  SlotCluster cluster(1);
  cluster.SendAll();
  const auto now = [&] { return cluster.mClock.MonotonicNow(); };
  REQUIRE(cluster.mPools[0]->TryAcquire(now()));
  cluster.mClock.Advance(2699ms);
  CHECK(cluster.mPools[0]->Free(now()) == 7);
  cluster.mClock.Advance(1ms);
  CHECK(cluster.mPools[0]->Free(now()) == 0);
  CHECK_FALSE(cluster.mPools[0]->TryAcquire(now()));
  CHECK(cluster.mGrantor->Granted(kEndpointPool) == 8);
}

TEST_CASE("Slots: after its lease expired a holder reports only slots in use")
{
  SlotCluster cluster(2);
  cluster.SendAll();
  cluster.SendAll();
  REQUIRE(cluster.mPools[0]->TryAcquire(cluster.mClock.MonotonicNow()));
  cluster.mClock.Advance(3s);
  cluster.mHolders[1]->AddWanted(kEndpointPool, 8);
  cluster.Send(1);
  CHECK(cluster.mGrantor->Granted(kEndpointPool) == 8);
  const SlotRequest request = cluster.mHolders[0]->BuildRequest();
  REQUIRE(request.mPools.size() == 1);
  CHECK(request.mPools[0].mHeld == 1);
}

TEST_CASE("Slots: a new grantor waits for one lease and adopts held shares")
{
  SlotCluster cluster(2);
  cluster.SendAll();
  cluster.SendAll();
  cluster.ReplaceGrantor();
  cluster.AddHolder("i2", 1);
  cluster.mHolders[2]->AddWanted(kEndpointPool, 8);
  cluster.Send(2);
  CHECK(cluster.Granted() == Shares{ 4, 4, 0 });
  cluster.Send(0);
  cluster.mClock.Advance(2500ms);
  cluster.SendAll();
  CHECK(cluster.Granted() == Shares{ 4, 4, 0 });
  cluster.mClock.Advance(500ms);
  cluster.Deliver(cluster.mGrantor->Tick());
  cluster.SendAll();
  CHECK(cluster.Granted() == Shares{ 0, 0, 8 });
}

TEST_CASE("Slots: replies of a previous grantor are ignored")
{
  SlotCluster cluster(1);
  const auto late =
    cluster.mGrantor->Handle(cluster.mHolders[0]->BuildRequest());
  const SlotRequest full = [&] {
    cluster.mHolders[0]->Apply(late.front());
    return cluster.mHolders[0]->BuildRequest();
  }();
  const auto granted = cluster.mGrantor->Handle(full);
  REQUIRE(granted.front().mGrants.size() == 1);
  cluster.ReplaceGrantor();
  const auto fullReportRequest =
    cluster.mGrantor->Handle(cluster.mHolders[0]->BuildRequest());
  REQUIRE(fullReportRequest.front().mNeedsFullReport);
  cluster.mHolders[0]->Apply(fullReportRequest.front());
  const SlotRequest claim = cluster.mHolders[0]->BuildRequest();
  cluster.mHolders[0]->Apply(granted.front());
  CHECK(claim.mPools.front().mHeld == 0);
  CHECK(cluster.Granted() == Shares{ 0 });
}

TEST_CASE("Slots: the lease of an earlier incarnation is not renewed")
{
  SlotCluster cluster(1);
  cluster.SendAll();
  cluster.AddHolder("i0", 2);
  cluster.Send(1);
  CHECK(cluster.mGrantor->Granted(kEndpointPool) == 8);
  cluster.mClock.Advance(1s);
  CHECK(cluster.mGrantor->Handle(cluster.mHolders[0]->BuildRequest()).empty());
  cluster.mClock.Advance(2s);
  cluster.Send(1);
  cluster.Send(1);
  CHECK(cluster.mPools[1]->Granted() == 8);
  CHECK_FALSE(cluster.mPools[0]->TryAcquire(cluster.mClock.MonotonicNow()));
}

TEST_CASE("Slots: a renewal without changes contains no pools")
{
  SlotCluster cluster(1);
  for (int i = 0; i < 100; ++i) {
    cluster.mGrantor->SetCapacity(
      { PoolType::EndpointSlots, "r" + std::to_string(i) }, kSlots);
  }
  cluster.Send(0);
  cluster.Send(0);
  const SlotRequest request = cluster.mHolders[0]->BuildRequest();
  CHECK(request.mPools.empty());
  const auto replies = cluster.mGrantor->Handle(request);
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].mGrants.empty());
  CHECK(replies[0].mRecalls.empty());
}

TEST_CASE("Slots: changes are sent less often the more pools there are")
{
  struct Row
  {
    int mPools;
    std::chrono::microseconds mDueAfter;
  };
  for (const Row& row : { Row{ 1, 2000us }, Row{ 4000, 8000us } }) {
    SlotCluster cluster(1);
    SlotHolder& holder = *cluster.mHolders[0];
    for (int i = 1; i < row.mPools; ++i) {
      holder.Pool({ PoolType::EndpointSlots, "r" + std::to_string(i) });
    }
    cluster.Send(0);
    holder.AddWanted(kEndpointPool, 4);
    cluster.mClock.Advance(row.mDueAfter - 1us);
    CHECK_FALSE(holder.IsRequestDue());
    cluster.mClock.Advance(1us);
    CHECK(holder.IsRequestDue());
  }
}

TEST_CASE("Slots: the quota of a team is divided in the same way")
{
  SlotCluster cluster(2);
  cluster.mGrantor->SetCapacity(kTeamPool, 64);
  const auto left = cluster.mHolders[0]->Pool(kTeamPool);
  const auto right = cluster.mHolders[1]->Pool(kTeamPool);
  cluster.SendAll();
  cluster.SendAll();
  CHECK(left->Granted() + right->Granted() == 64);
  cluster.mHolders[0]->AddWanted(kTeamPool, 64);
  cluster.Send(0);
  CHECK(left->Granted() == 64);
  CHECK(right->Granted() == 0);
}

TEST_CASE("Slots: a removed pool is returned and not counted twice")
{
  SlotCluster cluster(1);
  cluster.SendAll();
  REQUIRE(cluster.mPools[0]->TryAcquire(cluster.mClock.MonotonicNow()));
  cluster.mGrantor->SetCapacity(kEndpointPool, 0);
  cluster.mHolders[0]->Remove(kEndpointPool);
  cluster.Send(0);
  CHECK(cluster.mGrantor->Granted(kEndpointPool) == 1);
  CHECK(cluster.mHolders[0]->Pool(kEndpointPool) == cluster.mPools[0]);
  cluster.mHolders[0]->Remove(kEndpointPool);
  REQUIRE(cluster.mPools[0]->Release());
  cluster.mHolders[0]->RecordReturnedSlot(kEndpointPool);
  cluster.Send(0);
  CHECK(cluster.mGrantor->Granted(kEndpointPool) == 0);
}

TEST_CASE("Slots: messages are unchanged by encoding and decoding")
{
  SlotRequest request{ "i1", 3, 7, 9, true, { { kEndpointPool, 4, 2, 1, 5 } } };
  std::stringstream wire;
  msgpack::pack(wire, request);
  const std::string requestBytes = wire.str();
  const auto decoded = msgpack::unpack(requestBytes.data(), requestBytes.size())
                         .get()
                         .as<SlotRequest>();
  CHECK(decoded.mInstance == "i1");
  CHECK(decoded.mTerm == 7);
  REQUIRE(decoded.mPools.size() == 1);
  CHECK(decoded.mPools[0].mPool == kEndpointPool);
  CHECK(decoded.mPools[0].mGrantVersion == 5);

  SlotReply reply;
  reply.mGrants.push_back({ kTeamPool, 8, 11 });
  reply.mRecalls.push_back({ kEndpointPool, 2, 10 });
  std::stringstream replyWire;
  msgpack::pack(replyWire, reply);
  const std::string replyBytes = replyWire.str();
  const auto answer =
    msgpack::unpack(replyBytes.data(), replyBytes.size()).get().as<SlotReply>();
  REQUIRE(answer.mGrants.size() == 1);
  CHECK(answer.mGrants[0].mPool == kTeamPool);
  REQUIRE(answer.mRecalls.size() == 1);
  CHECK(answer.mRecalls[0].mTarget == 2);
}
