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

/** \brief Records the calls to other instances for the test to answer. */
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

/** \brief A gateway; the fixture answers its queries in place of the
 * coordinators. */
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
  /** Local leader, and coordinators of the gateway's data centre. */
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

TEST_CASE("Gateway: a call is sent to the leader and its reply is returned")
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

TEST_CASE("Gateway: without a leader a call is soon refused as not run")
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

TEST_CASE("Gateway: a call whose leader fails is sent to the next leader")
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
  SECTION("it stops answering")
  {
    fixture.mUnresponsive.insert("a");
  }
  SECTION("it refuses the call since it does not lead")
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

// A leader bounds by it for how long it works for the caller (review/11).
TEST_CASE("Gateway: a call names the time that is left of its caller's")
{
  GatewayFixture fixture;
  fixture.Run(milliseconds(100));
  fixture.Submit(1500);
  const RecordingRpc::PendingCall first = fixture.mRpc.TakeJob();
  CHECK(UnpackMessage<JobCall>(first.mRequest).value().mWaitMs == 1500);
  first.mDone(Error(ErrorKind::PeerTimeout, "connection lost"));
  fixture.mLeader = "none";
  fixture.Run(milliseconds(600));
  fixture.mLeader = "b";
  fixture.mTerm = 3;
  fixture.Run(milliseconds(200));
  REQUIRE(fixture.mRpc.Jobs().size() == 1);
  const JobCall second =
    UnpackMessage<JobCall>(fixture.mRpc.TakeJob().mRequest).value();
  CHECK(second.mWaitMs <= 900);
  CHECK(second.mWaitMs >= 700);
}

TEST_CASE("Gateway: a call that reached a leader is never reported as not run")
{
  GatewayFixture fixture;
  fixture.Run(milliseconds(100));
  fixture.Submit(500);
  const RecordingRpc::PendingCall call = fixture.mRpc.TakeJob();
  fixture.mUnresponsive = { "a", "b", "c" };
  SECTION("the call fails")
  {
    call.mDone(Error(ErrorKind::PeerTimeout, "connection lost"));
  }
  SECTION("the call gets no answer") {}
  fixture.Run(milliseconds(600));
  REQUIRE(fixture.mReply);
  CHECK(fixture.mReply->mKind == JobReplyKind::Unknown);
}

TEST_CASE("Gateway: only a final result of an earlier attempt is accepted")
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
  SECTION("a refusal is ignored, since the next leader may run the job")
  {
    first.mDone(Packed(JobReplyKind::Refused));
    CHECK_FALSE(fixture.mReply);
  }
  SECTION("a final result is returned")
  {
    JobReply reply;
    reply.mKind = JobReplyKind::Accepted;
    reply.mState = JobState::Completed;
    first.mDone(PackMessage(reply));
    REQUIRE(fixture.mReply);
    CHECK(fixture.mReply->mState == JobState::Completed);
  }
}

TEST_CASE("Gateway: without an elected leader a call is sent to the local "
          "leader")
{
  GatewayFixture fixture;
  fixture.mLeader = "none";
  fixture.mLocalLeader = "c";
  bool served = true;
  SECTION("it leads this data centre") {}
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
    CHECK(UnpackMessage<JobCall>(call.mRequest).value().mForLocalLeader);
  }
}

TEST_CASE(
  "Leader finder: one instance of the data centre is asked to lead locally")
{
  GatewayFixture fixture;
  fixture.mLeader = "none";
  std::set<InstanceName> expected;
  SECTION("the first one that answers")
  {
    expected = { "b" };
  }
  SECTION("an unresponsive instance is skipped")
  {
    fixture.mUnresponsive = { "b" };
    expected = { "c" };
  }
  SECTION("the current local leader")
  {
    fixture.mLocalLeader = "c";
    expected = { "c" };
  }
  SECTION("no instance of another data centre")
  {
    fixture.mInThisDataCentre.clear();
  }
  fixture.Run(milliseconds(1500));
  CHECK(fixture.mAskedToLeadLocally == expected);
  CHECK((expected.empty() || fixture.mLocalLeaderQuery.mDataCentre == "here"));
}

TEST_CASE("Gateway: a call that an elected leader may act on is not sent to a "
          "local leader")
{
  GatewayFixture fixture;
  fixture.Run(milliseconds(100));
  fixture.Submit(1500);
  const RecordingRpc::PendingCall call = fixture.mRpc.TakeJob();
  fixture.mLeader = "none";
  fixture.mLocalLeader = "c";
  fixture.mUnresponsive = { "a" };
  SECTION("its leader does not answer") {}
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

TEST_CASE("Gateway: a call that a local leader may have acted on is not sent "
          "again")
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
    call.mDone(Error(ErrorKind::PeerTimeout, "not the leader any more"));
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
    CHECK_FALSE(sent.mForLocalLeader);
    CHECK(sent.mEarlierSends == 0);
  }
}

TEST_CASE("Gateway: sends the highest manifest version that it has seen")
{
  GatewayFixture fixture;
  fixture.Run(milliseconds(100));
  fixture.Submit();
  JobReply reply;
  reply.mKind = JobReplyKind::Accepted;
  reply.mManifestVersion = 7;
  fixture.mRpc.TakeJob().mDone(PackMessage(reply));
  fixture.Submit();
  CHECK(UnpackMessage<JobCall>(fixture.mRpc.TakeJob().mRequest)
          .value()
          .mManifestVersion == 7);
}

TEST_CASE("Gateway: giving up all calls answers each open call")
{
  GatewayFixture fixture;
  fixture.Run(milliseconds(100));
  fixture.Submit(60'000);
  fixture.mGateway.GiveUpAll();
  REQUIRE(fixture.mReply);
  CHECK(fixture.mReply->mKind == JobReplyKind::Unknown);
  CHECK(fixture.mGateway.OpenCalls() == 0);
}

TEST_CASE("Leader finder: an answer with an earlier term is ignored")
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
