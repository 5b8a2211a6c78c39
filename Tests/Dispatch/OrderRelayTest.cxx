// Orders that another coordinator sends for the leader.
#include <catch2/catch.hpp>

#include "Base/MessagePack.h"
#include "Dispatch/LeasedWorkerCalls.h"
#include "Dispatch/OrderRelay.h"
#include "Dispatch/RelayedWorkerCalls.h"
#include "Dispatch/ScriptedLeader.h"
#include "Support/DiscardingSink.h"
#include "Support/FakePeerRpc.h"

using namespace almondspoke;
using namespace almondspoke::dispatch;
using almondspoke::testing::DiscardingSink;
using almondspoke::testing::FakePeerRpc;
using almondspoke::testing::ManualClock;
using almondspoke::testing::OrderRecorder;
using std::chrono::milliseconds;

namespace {

constexpr Term kTerm = 5;

/** \brief A leader, and a relay in the data centre of its workers. */
struct RelayFixture
{
  RelayFixture()
    : mLog(mClock, mSink)
    , mRelays(mClock, mLog)
    , mLeased(mContext, mDirect, [this] { return mHoldsLease; })
    , mCalls(mClock,
             mLeaderRpc,
             mLeased,
             mRelays,
             [this] { return mLeadingTerm; })
    , mRelay(mRelayClock, mLog, mRelayRpc, mRelayed, [this] {
      return mRelayTerm;
    })
  {
    mRelayClock.Advance(std::chrono::minutes(5));
    mRelay.Register();
    mLeaderRpc.mPeers["relay"] = &mRelayRpc;
    SayThatItRelays();
  }

  /** Lets the relay tell the leader that it is one, and its time. */
  void SayThatItRelays()
  {
    mRelays.Update("relay", "zagreb", true, PeerTimeOf(mRelayClock));
  }
  void Advance(std::chrono::microseconds aTime)
  {
    mClock.Advance(aTime);
    mRelayClock.Advance(aTime);
  }

  StartOrder Order() const
  {
    StartOrder order;
    order.mTarget = { { "w0", 17 }, "10.0.0.1:80", 32, 7, mDataCentre };
    order.mRun = { { "job", 0, 1, 2 }, 3 };
    order.mPayload = "payload";
    order.mCheckpoint = "saved";
    order.mLeaseEnd = 482'000;
    return order;
  }
  void Start()
  {
    mCalls.Start(Order(),
                 milliseconds(100),
                 [this](const OrderResult& aResult) { mResult = aResult; });
    mContext.poll();
    mContext.restart();
  }

  ManualClock mClock;
  /** Runs beside the leader's one, with another time. */
  ManualClock mRelayClock;
  DiscardingSink mSink;
  EventLog mLog;
  asio::io_context mContext;
  std::string mDataCentre = "zagreb";
  bool mHoldsLease = true;
  std::optional<Term> mLeadingTerm = kTerm;
  Term mRelayTerm = kTerm;
  FakePeerRpc mLeaderRpc;
  FakePeerRpc mRelayRpc;
  OrderRecorder mDirect;
  OrderRecorder mRelayed;
  RelayDirectory mRelays;
  LeasedWorkerCalls mLeased;
  RelayedWorkerCalls mCalls;
  OrderRelay mRelay;
  std::optional<OrderResult> mResult;
};

/** \brief A state of leader and relay, and who sends an order in it. */
struct RouteCase
{
  const char* mName;
  void (*mPrepare)(RelayFixture&);
  std::size_t mSentByRelay;
  std::size_t mSentDirectly;
  /** Outcome that the leader learns at once; nothing if the order was sent. */
  std::optional<OrderOutcome> mOutcome;
};

}

TEST_CASE("Order relay: all fields of each kind of order and of its answer "
          "arrive")
{
  RelayFixture fixture;
  fixture.Start();
  REQUIRE(fixture.mRelayed.mStarts.size() == 1);
  const auto start = OrderRecorder::TakeFirst(fixture.mRelayed.mStarts);
  CHECK(start.mOrder.mTarget.mBoot == WorkerBoot{ "w0", 17 });
  CHECK(start.mOrder.mTarget.mAddress == "10.0.0.1:80");
  CHECK(start.mOrder.mTarget.mMaxConnections == 32);
  CHECK(start.mOrder.mTarget.mFence == 7);
  CHECK(start.mOrder.mRun.mTask == TaskId{ "job", 0, 1, 2 });
  CHECK(start.mOrder.mRun.mNumber == 3);
  CHECK(start.mOrder.mPayload == "payload");
  CHECK(start.mOrder.mCheckpoint == "saved");
  CHECK(start.mOrder.mLeaseEnd == 482'000);
  CHECK(fixture.mRelay.OrdersInFlight() == 1);
  start.mDone({ OrderOutcome::Superseded, 4711 });
  REQUIRE(fixture.mResult);
  CHECK(fixture.mResult->mOutcome == OrderOutcome::Superseded);
  CHECK(fixture.mResult->mClock == 4711);
  CHECK(fixture.mRelay.OrdersInFlight() == 0);

  HoldOrder hold;
  hold.mTarget = fixture.Order().mTarget;
  hold.mLeaseEnd = 483'000;
  hold.mAcknowledgedEnds = 9;
  hold.mMaxWait = milliseconds(300);
  HoldResult answer;
  fixture.mCalls.Hold(hold, milliseconds(600), [&](const HoldResult& aResult) {
    answer = aResult;
  });
  REQUIRE(fixture.mRelayed.mHolds.size() == 1);
  const auto held = OrderRecorder::TakeFirst(fixture.mRelayed.mHolds);
  CHECK(held.mOrder.mLeaseEnd == 483'000);
  CHECK(held.mOrder.mAcknowledgedEnds == 9);
  CHECK(held.mOrder.mMaxWait == milliseconds(300));
  HoldResult lists;
  lists.mOutcome = OrderOutcome::Done;
  lists.mClock = 5;
  lists.mStartTimeMs = 17;
  lists.mRunning.push_back({ { { "job", 0, 1, 2 }, 3 }, "saved", 41 });
  lists.mEnded.push_back({ 9, { { "job", 0, 1, 1 }, 2 }, RunEnd::Failed, "x" });
  lists.mIsRunningListComplete = false;
  held.mDone(lists);
  CHECK(answer.mOutcome == OrderOutcome::Done);
  CHECK(answer.mStartTimeMs == 17);
  REQUIRE(answer.mRunning.size() == 1);
  CHECK(answer.mRunning.front().mPercent == 41);
  REQUIRE(answer.mEnded.size() == 1);
  CHECK(answer.mEnded.front().mEnd == RunEnd::Failed);
  CHECK_FALSE(answer.mIsRunningListComplete);

  fixture.mCalls.Stop({ hold.mTarget, { { "job", 0, 1, 2 }, 3 } },
                      milliseconds(100),
                      [](const OrderResult&) {});
  REQUIRE(fixture.mRelayed.mStops.size() == 1);
  CHECK(fixture.mRelayed.mStops.front().mOrder.mRun.mNumber == 3);
}

TEST_CASE("Order relay: an order is sent once, by the relay or directly")
{
  const std::vector<RouteCase> cases = {
    { "by the relay", [](RelayFixture&) {}, 1, 0, {} },
    { "no relay in the worker's data centre",
      [](RelayFixture& aFixture) { aFixture.mDataCentre = "sisak"; },
      0,
      1,
      {} },
    { "not the elected leader",
      [](RelayFixture& aFixture) { aFixture.mLeadingTerm.reset(); },
      0,
      1,
      {} },
    { "relay not connected",
      [](RelayFixture& aFixture) { aFixture.mLeaderRpc.mPeers.clear(); },
      0,
      1,
      {} },
    { "relay shutting down",
      [](RelayFixture& aFixture) { aFixture.mRelay.StartDraining(); },
      0,
      1,
      {} },
    { "relay that says no more that it is one",
      [](RelayFixture& aFixture) { aFixture.Advance(milliseconds(2600)); },
      0,
      1,
      {} },
    { "relay that knows of a later leader",
      [](RelayFixture& aFixture) { aFixture.mRelayTerm = kTerm + 1; },
      0,
      0,
      OrderOutcome::NotSent },
    { "relay not connected, and the leader's lease has ended",
      [](RelayFixture& aFixture) {
        aFixture.mLeaderRpc.mPeers.clear();
        aFixture.mHoldsLease = false;
      },
      0,
      0,
      OrderOutcome::NotSent },
  };
  for (const RouteCase& row : cases) {
    INFO(row.mName);
    RelayFixture fixture;
    row.mPrepare(fixture);
    fixture.Start();
    CHECK(fixture.mRelayed.mStarts.size() == row.mSentByRelay);
    CHECK(fixture.mDirect.mStarts.size() == row.mSentDirectly);
    CHECK(fixture.mResult.has_value() == row.mOutcome.has_value());
    if (row.mOutcome && fixture.mResult) {
      CHECK(fixture.mResult->mOutcome == *row.mOutcome);
    }
  }
}

TEST_CASE("Order relay: an order without an answer of the relay may have been "
          "sent and is not sent again")
{
  RelayFixture fixture;
  fixture.mLeaderRpc.mHold = true;
  constexpr int kUnanswered = 4;
  for (int i = 0; i < kUnanswered; ++i) {
    fixture.mResult.reset();
    fixture.Start();
    fixture.mLeaderRpc.mHeld(Error(ErrorKind::PeerTimeout, "no answer"));
    REQUIRE(fixture.mResult);
    CHECK(fixture.mResult->mOutcome == OrderOutcome::Unknown);
    CHECK(fixture.mDirect.mStarts.empty());
  }
  // The relay is passed over for a time, and then used again.
  fixture.mLeaderRpc.mHold = false;
  fixture.Start();
  CHECK(fixture.mDirect.mStarts.size() == 1);
  CHECK(fixture.mRelayed.mStarts.empty());
  fixture.Advance(milliseconds(2100));
  fixture.SayThatItRelays();
  fixture.Start();
  CHECK(fixture.mRelayed.mStarts.size() == 1);
}

// Guards against a collapse: relays that answered thousands of orders were
// passed over since four to lost workers ended at one moment, and the leader
// sent everything itself.
TEST_CASE("Order relay: a relay that answers other orders is not passed over")
{
  RelayFixture fixture;
  const auto leaveUnanswered = [&](int aOrders) {
    fixture.mLeaderRpc.mHold = true;
    for (int i = 0; i < aOrders; ++i) {
      fixture.Start();
      fixture.mLeaderRpc.mHeld(Error(ErrorKind::PeerTimeout, "no answer"));
    }
    fixture.mLeaderRpc.mHold = false;
  };
  fixture.Start();
  OrderRecorder::TakeFirst(fixture.mRelayed.mStarts)
    .mDone({ OrderOutcome::Done, 4711 });
  fixture.Advance(milliseconds(100));
  leaveUnanswered(30);
  fixture.Start();
  CHECK(fixture.mRelayed.mStarts.size() == 1);
  CHECK(fixture.mDirect.mStarts.empty());
  fixture.Advance(milliseconds(300));
  leaveUnanswered(1);
  fixture.Start();
  CHECK(fixture.mDirect.mStarts.size() == 1);
}

TEST_CASE("Order relay: a leader that was paused checks its lease again before "
          "it sends what a relay did not take")
{
  RelayFixture fixture;
  fixture.mLeaderRpc.mHold = true;
  fixture.Start();
  fixture.mHoldsLease = false;
  fixture.mLeaderRpc.mHeld(Error(ErrorKind::Draining, "shutting down"));
  fixture.mContext.poll();
  CHECK(fixture.mDirect.mStarts.empty());
  REQUIRE(fixture.mResult);
  CHECK(fixture.mResult->mOutcome == OrderOutcome::NotSent);
}

TEST_CASE("Order relay: a malformed order is refused and nothing is sent")
{
  RelayFixture fixture;
  RelayedOrder odd;
  odd.mTerm = kTerm;
  odd.mKind = static_cast<OrderKind>(7);
  for (const std::string& request :
       { std::string("\xc1"), std::string(), PackMessage(odd) }) {
    bool refused = false;
    fixture.mLeaderRpc.Call(
      "relay",
      kRelayMethod,
      request,
      milliseconds(100),
      [&](const Result<std::string>& aAnswer) { refused = !aAnswer; });
    CHECK(refused);
  }
  CHECK(fixture.mRelayed.mStarts.empty());
  CHECK(fixture.mRelay.OrdersInFlight() == 0);
}

TEST_CASE(
  "Order relay: a leader that sends very many orders uses the relays of "
  "other data centres too")
{
  constexpr int kManyOrders = 2500;
  RelayFixture fixture;
  fixture.mDataCentre = "sisak";
  const auto sendMany = [&](int aOrders) {
    for (int i = 0; i < aOrders; ++i) {
      fixture.Advance(std::chrono::microseconds(200));
      fixture.SayThatItRelays();
      fixture.Start();
    }
  };
  sendMany(100);
  CHECK(fixture.mRelayed.mStarts.empty());
  sendMany(2 * kManyOrders);
  CHECK(fixture.mRelayed.mStarts.size() >= kManyOrders);
  // Few orders go directly again.
  fixture.Advance(milliseconds(500));
  fixture.Start();
  fixture.mRelayed.mStarts.clear();
  fixture.Advance(milliseconds(500));
  fixture.SayThatItRelays();
  fixture.Start();
  fixture.Start();
  CHECK(fixture.mRelayed.mStarts.size() <= 1);
}

// Guards against a start after the task's end was noted: a relay that stood
// still sent an order after seconds, and a worker that had started again
// meanwhile carried it out.
TEST_CASE("Order relay: an order that has waited longer than its leader does "
          "is not sent")
{
  RelayFixture fixture;
  fixture.mLeaderRpc.mHold = true;
  fixture.Start();
  REQUIRE_FALSE(fixture.mLeaderRpc.mHeldRequest.empty());
  fixture.Advance(milliseconds(7000));
  std::optional<ErrorKind> refusal;
  fixture.mRelayRpc.mHandlers.at(kRelayMethod)(
    "leader",
    fixture.mLeaderRpc.mHeldRequest,
    [&](const Result<std::string>& aAnswer) {
      REQUIRE_FALSE(aAnswer);
      refusal = aAnswer.error().Kind();
    });
  CHECK(refusal == ErrorKind::DeadlineExpiredInQueue);
  CHECK(fixture.mRelayed.mStarts.empty());
  CHECK(fixture.mRelay.OrdersInFlight() == 0);
  // The leader sends it itself, as one that certainly was not sent.
  fixture.mLeaderRpc.mHeld(Error(*refusal, "expired"));
  fixture.mContext.poll();
  CHECK(fixture.mDirect.mStarts.size() == 1);
}
