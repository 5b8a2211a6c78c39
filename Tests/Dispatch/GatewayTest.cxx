#include <deque>

#include <catch2/catch.hpp>

#include "Base/MessagePack.h"
#include "Dispatch/DispatchFixture.h"
#include "Dispatch/Gateway.h"

using namespace almondspoke;
using namespace almondspoke::dispatch;
using almondspoke::testing::ManualClock;
using almondspoke::testing::TextSink;
using std::chrono::milliseconds;

namespace {

/** \brief Keeps the calls to the other instances for the test to answer. */
class RecordingRpc : public PeerRpc
{
public:
  struct PendingCall
  {
    InstanceName mTo;
    std::string mRequest;
    Done mDone;
  };

  void Call(const InstanceName& aTo,
            const std::string& aMethod,
            std::string aRequest,
            std::chrono::milliseconds,
            Done aDone) override
  {
    mCalls[aMethod].push_back({ aTo, std::move(aRequest), std::move(aDone) });
  }
  void Register(const std::string&, Handler) override {}

  std::deque<PendingCall>& Jobs() { return mCalls[kJobCallMethod]; }
  PendingCall TakeJob()
  {
    PendingCall pending = std::move(Jobs().front());
    Jobs().pop_front();
    return pending;
  }

  std::map<std::string, std::deque<PendingCall>> mCalls;
};

/** \brief A gateway whose instances the test plays. */
struct GatewayFixture
{
  GatewayFixture()
    : mLog(mClock, mSink)
    , mFinder(mClock, mRpc, mLog, "here", { "a", "b", "c" })
    , mGateway(mClock, mRpc, mFinder, mLog)
  {
  }

  void Run(milliseconds aTime)
  {
    for (std::int64_t i = 0; i < aTime.count(); i += 5) {
      mClock.Advance(milliseconds(5));
      mFinder.Tick();
      AnswerQueries();
      mGateway.Tick();
    }
  }

  void AnswerQueries()
  {
    auto& queries = mRpc.mCalls[kLeaderStatusMethod];
    while (!queries.empty()) {
      const RecordingRpc::PendingCall query = std::move(queries.front());
      queries.pop_front();
      if (mUnresponsive.count(query.mTo) != 0) {
        query.mDone(Error(ErrorKind::PeerTimeout, "no answer"));
        continue;
      }
      const LeaderQuery unpacked =
        UnpackMessage<LeaderQuery>(query.mRequest).value();
      if (unpacked.mWantsLocalLeader) {
        mAskedToLeadLocally.insert(query.mTo);
        mLocalLeaderQuery = unpacked;
      }
      LeaderStatus status;
      status.mLeads = query.mTo == mLeader;
      status.mTerm = mTerm;
      status.mLeadsLocally = query.mTo == mLocalLeader;
      status.mDataCentre =
        mInThisDataCentre.count(query.mTo) != 0 ? "here" : "elsewhere";
      query.mDone(PackMessage(status));
    }
  }

  void Submit(std::uint32_t aWaitMs = 1500)
  {
    JobCall call;
    call.mKind = JobCallKind::Submit;
    call.mPath = "/q/j1";
    call.mWaitMs = aWaitMs;
    mGateway.Call(call, [this](const JobReply& aReply) { mReply = aReply; });
  }

  ManualClock mClock;
  TextSink mSink;
  EventLog mLog;
  RecordingRpc mRpc;
  LeaderFinder mFinder;
  Gateway mGateway;
  LeaderQuery mLocalLeaderQuery;
  InstanceName mLeader = "a";
  /** Instance that leads its data centre alone, and those that are here. */
  InstanceName mLocalLeader;
  std::set<InstanceName> mInThisDataCentre = { "b", "c" };
  std::set<InstanceName> mAskedToLeadLocally;
  std::uint64_t mTerm = 2;
  std::set<InstanceName> mUnresponsive;
  std::optional<JobReply> mReply;
};

std::string
Packed(JobReplyKind aKind)
{
  JobReply reply;
  reply.mKind = aKind;
  return PackMessage(reply);
}

}

TEST_CASE("Gateway: a call goes to the leader and its reply comes back")
{
  GatewayFixture fixture;
  fixture.Run(milliseconds(100));
  REQUIRE(fixture.mGateway.IsReady());
  fixture.Submit();
  const RecordingRpc::PendingCall call = fixture.mRpc.TakeJob();
  CHECK(call.mTo == "a");
  CHECK(UnpackMessage<JobCall>(call.mRequest).value().mEarlierSends == 0);
  call.mDone(Packed(JobReplyKind::Accepted));
  REQUIRE(fixture.mReply);
  CHECK(fixture.mReply->mKind == JobReplyKind::Accepted);
  CHECK(fixture.mGateway.OpenCalls() == 0);
}

TEST_CASE("Gateway: without a leader a call is refused soon, as not run")
{
  GatewayFixture fixture;
  fixture.mLeader = "none";
  fixture.Run(milliseconds(100));
  CHECK_FALSE(fixture.mGateway.IsReady());
  fixture.Submit();
  fixture.Run(milliseconds(60));
  REQUIRE(fixture.mReply);
  CHECK(fixture.mReply->mKind == JobReplyKind::Unavailable);
  CHECK(fixture.mReply->mRetryAfterMs >= 500);
  CHECK(fixture.mRpc.Jobs().empty());
}

TEST_CASE("Gateway: a call whose leader is lost goes to the next one, marked")
{
  GatewayFixture fixture;
  fixture.Run(milliseconds(100));
  fixture.Submit();
  const RecordingRpc::PendingCall first = fixture.mRpc.TakeJob();
  std::uint32_t expected = 1;
  SECTION("its connection ends")
  {
    first.mDone(Error(ErrorKind::PeerTimeout, "connection lost"));
  }
  SECTION("it does not answer any more")
  {
    fixture.mUnresponsive.insert("a");
  }
  SECTION("it never had it")
  {
    first.mDone(Error(ErrorKind::NotLeader, "b"));
    expected = 0;
  }
  fixture.mLeader = "b";
  fixture.mTerm = 3;
  fixture.Run(milliseconds(800));
  REQUIRE(fixture.mRpc.Jobs().size() == 1);
  const RecordingRpc::PendingCall second = fixture.mRpc.TakeJob();
  CHECK(second.mTo == "b");
  CHECK(UnpackMessage<JobCall>(second.mRequest).value().mEarlierSends ==
        expected);
  second.mDone(Packed(JobReplyKind::Accepted));
  CHECK(fixture.mReply->mKind == JobReplyKind::Accepted);
}

TEST_CASE("Gateway: a call that reached a leader is never said to be not run")
{
  GatewayFixture fixture;
  fixture.Run(milliseconds(100));
  fixture.Submit(500);
  const RecordingRpc::PendingCall call = fixture.mRpc.TakeJob();
  fixture.mUnresponsive = { "a", "b", "c" };
  SECTION("it ends without an answer")
  {
    call.mDone(Error(ErrorKind::PeerTimeout, "connection lost"));
  }
  SECTION("nothing comes back at all") {}
  fixture.Run(milliseconds(600));
  REQUIRE(fixture.mReply);
  CHECK(fixture.mReply->mKind == JobReplyKind::Unknown);
}

TEST_CASE("Gateway: of the answers to an earlier sending only an end counts")
{
  GatewayFixture fixture;
  fixture.Run(milliseconds(100));
  fixture.Submit(5000);
  const RecordingRpc::PendingCall first = fixture.mRpc.TakeJob();
  fixture.mUnresponsive.insert("a");
  fixture.mLeader = "b";
  fixture.mTerm = 3;
  fixture.Run(milliseconds(800));
  REQUIRE(fixture.mRpc.Jobs().size() == 1);
  SECTION("not a refusal: the next leader may run the job")
  {
    first.mDone(Packed(JobReplyKind::Refused));
    CHECK_FALSE(fixture.mReply);
  }
  SECTION("an end is delivered")
  {
    JobReply reply;
    reply.mKind = JobReplyKind::Accepted;
    reply.mState = JobState::Completed;
    first.mDone(PackMessage(reply));
    REQUIRE(fixture.mReply);
    CHECK(fixture.mReply->mState == JobState::Completed);
  }
}

TEST_CASE("Gateway: without an elected leader a call goes to the instance that "
          "leads this data centre alone")
{
  GatewayFixture fixture;
  fixture.mLeader = "none";
  fixture.mLocalLeader = "c";
  bool served = true;
  SECTION("that instance is here") {}
  SECTION("it leads another data centre")
  {
    fixture.mInThisDataCentre = { "b" };
    served = false;
  }
  fixture.Run(milliseconds(600));
  CHECK(fixture.mGateway.IsReady() == served);
  fixture.Submit();
  REQUIRE(fixture.mRpc.Jobs().size() == (served ? 1 : 0));
  if (served) {
    const RecordingRpc::PendingCall call = fixture.mRpc.TakeJob();
    CHECK(call.mTo == "c");
    CHECK(UnpackMessage<JobCall>(call.mRequest).value().mLocal);
  }
}

TEST_CASE(
  "Leader finder: one instance of the data centre is asked to lead alone")
{
  GatewayFixture fixture;
  fixture.mLeader = "none";
  std::set<InstanceName> expected;
  SECTION("the first of those that answer")
  {
    expected = { "b" };
  }
  SECTION("not one that is silent")
  {
    fixture.mUnresponsive = { "b" };
    expected = { "c" };
  }
  SECTION("the one that leads already")
  {
    fixture.mLocalLeader = "c";
    expected = { "c" };
  }
  SECTION("none elsewhere")
  {
    fixture.mInThisDataCentre.clear();
  }
  fixture.Run(milliseconds(1500));
  CHECK(fixture.mAskedToLeadLocally == expected);
  CHECK((expected.empty() || fixture.mLocalLeaderQuery.mDataCentre == "here"));
}

TEST_CASE("Gateway: a call that an elected leader may act on goes to nobody "
          "that leads alone")
{
  GatewayFixture fixture;
  fixture.Run(milliseconds(100));
  fixture.Submit(1500);
  const RecordingRpc::PendingCall call = fixture.mRpc.TakeJob();
  fixture.mLeader = "none";
  fixture.mLocalLeader = "c";
  fixture.mUnresponsive = { "a" };
  SECTION("its leader is silent") {}
  SECTION("its connection ended")
  {
    call.mDone(Error(ErrorKind::PeerTimeout, "connection lost"));
  }
  fixture.Run(milliseconds(1000));
  CHECK(fixture.mRpc.Jobs().empty());
  const std::vector<std::string> expected = { "/q/j1" };
  CHECK(fixture.mLocalLeaderQuery.mUnresolvedCalls == expected);
  fixture.Run(milliseconds(700));
  REQUIRE(fixture.mReply);
  CHECK(fixture.mReply->mKind == JobReplyKind::Unknown);
  CHECK(fixture.mLocalLeaderQuery.mUnresolvedCalls == expected);
}

TEST_CASE("Gateway: a call that was at an instance that led alone is not sent "
          "on")
{
  GatewayFixture fixture;
  fixture.mLeader = "none";
  fixture.mLocalLeader = "c";
  fixture.Run(milliseconds(600));
  fixture.Submit();
  const RecordingRpc::PendingCall call = fixture.mRpc.TakeJob();
  fixture.mLocalLeader = "none";
  fixture.mLeader = "a";
  fixture.Run(milliseconds(100));
  SECTION("it may have been acted on")
  {
    call.mDone(Error(ErrorKind::PeerTimeout, "leads no more"));
    fixture.Run(milliseconds(300));
    REQUIRE(fixture.mReply);
    CHECK(fixture.mReply->mKind == JobReplyKind::Unknown);
    CHECK(fixture.mRpc.Jobs().empty());
  }
  SECTION("it was not acted on")
  {
    call.mDone(Error(ErrorKind::NotLeader, ""));
    // The gateway keeps the call until the elected leader is found.
    fixture.Run(milliseconds(200));
    REQUIRE(fixture.mRpc.Jobs().size() == 1);
    const JobCall sent =
      UnpackMessage<JobCall>(fixture.mRpc.TakeJob().mRequest).value();
    CHECK_FALSE(sent.mLocal);
    CHECK(sent.mEarlierSends == 0);
  }
}

TEST_CASE("Gateway: tells by which manifest it has served")
{
  GatewayFixture fixture;
  fixture.Run(milliseconds(100));
  fixture.Submit();
  JobReply reply;
  reply.mKind = JobReplyKind::Accepted;
  reply.mManifest = 7;
  fixture.mRpc.TakeJob().mDone(PackMessage(reply));
  fixture.Submit();
  CHECK(
    UnpackMessage<JobCall>(fixture.mRpc.TakeJob().mRequest).value().mManifest ==
    7);
}

TEST_CASE("Gateway: before a stop every open call gets its answer")
{
  GatewayFixture fixture;
  fixture.Run(milliseconds(100));
  fixture.Submit(60'000);
  fixture.mGateway.GiveUpAll();
  REQUIRE(fixture.mReply);
  CHECK(fixture.mReply->mKind == JobReplyKind::Unknown);
  CHECK(fixture.mGateway.OpenCalls() == 0);
}

TEST_CASE("Leader finder: an earlier leader that answers late is not believed")
{
  GatewayFixture fixture;
  fixture.mTerm = 5;
  fixture.Run(milliseconds(100));
  CHECK(fixture.mFinder.Leader() == "a");
  fixture.mLeader = "b";
  fixture.mTerm = 4;
  fixture.mUnresponsive.insert("a");
  fixture.Run(milliseconds(1000));
  CHECK_FALSE(fixture.mFinder.Leader());
  fixture.mTerm = 6;
  fixture.Run(milliseconds(200));
  CHECK(fixture.mFinder.Leader() == "b");
}
