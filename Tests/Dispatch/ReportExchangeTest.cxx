#include <set>
#include <vector>

#include <catch2/catch.hpp>

#include "Dispatch/ReportExchange.h"
#include "Dispatch/ScriptedLeader.h"
#include "Support/DiscardingSink.h"
#include "Support/FakePeerRpc.h"

using namespace almondspoke;
using namespace almondspoke::dispatch;
using almondspoke::testing::DiscardingSink;
using almondspoke::testing::FakePeerRpc;
using almondspoke::testing::ManualClock;
using almondspoke::testing::ScriptedLeader;

namespace {

/** \brief A coordinator's exchange of reports, beside another's. */
struct Exchange
{
  void Report(std::uint64_t aStartTimeMs,
              std::uint64_t aSequence,
              const PoolName& aPool)
  {
    WorkerReport report = ScriptedLeader::ReportOf("w0");
    report.mBoot.mStartTimeMs = aStartTimeMs;
    report.mSequence = aSequence;
    report.mPool = aPool;
    mExchange.OnReport(report);
  }
  std::uint64_t Ignored() const
  {
    return mExchange
      .Defects()[static_cast<std::size_t>(ReportDefect::UnknownPool)];
  }

  ManualClock mClock;
  DiscardingSink mSink;
  EventLog mLog{ mClock, mSink };
  FakePeerRpc mRpc;
  WorkerDirectory mDirectory{ std::chrono::seconds(12) };
  std::set<PoolName> mNamed{ "pool" };
  std::vector<WorkerReport> mSeen;
  ReportExchange mExchange{
    mClock,
    mRpc,
    mLog,
    mDirectory,
    "self",
    [this](const PoolName& aPool) { return mNamed.count(aPool) != 0; },
    [this](const WorkerReport& aReport) { mSeen.push_back(aReport); }
  };
};

}

// Guards against a report of another writer that ends the session of a sound
// worker, so that its tasks start again beside its runs (review/3).
TEST_CASE(
  "Report exchange: a boot of a pool that nobody names does not replace "
  "a known worker")
{
  Exchange exchange;
  exchange.Report(1, 1, "pool");
  exchange.Report(9, 1, "other");
  CHECK(exchange.Ignored() == 1);
  REQUIRE(exchange.mSeen.size() == 1);
  CHECK(exchange.mDirectory.Find("w0")->mBoot.mStartTimeMs == 1);
  // The worker's own reports count as before.
  exchange.Report(1, 2, "pool");
  CHECK(exchange.mSeen.size() == 2);
}

TEST_CASE("Report exchange: reports of other coordinators are checked, too")
{
  Exchange sender;
  sender.mNamed = { "pool", "other" };
  Exchange receiver;
  receiver.mExchange.Register();
  sender.mRpc.mPeer = &receiver.mRpc;
  sender.mExchange.SetPeers({ "peer" });
  receiver.Report(1, 1, "pool");
  sender.Report(9, 1, "other");
  sender.mExchange.Tick();
  CHECK(receiver.Ignored() == 1);
  CHECK(receiver.mSeen.size() == 1);
}

TEST_CASE("Report exchange: a known boot reports on after its pool was removed")
{
  Exchange exchange;
  exchange.Report(1, 1, "pool");
  exchange.mNamed.clear();
  exchange.Report(1, 2, "pool");
  CHECK(exchange.mSeen.size() == 2);
  // A later boot waits until a manifest names its pool.
  exchange.Report(2, 1, "pool");
  CHECK(exchange.mSeen.size() == 2);
  exchange.mNamed = { "pool" };
  exchange.Report(2, 2, "pool");
  CHECK(exchange.mSeen.size() == 3);
}
