// Operators' requests on their way to the consensus group.
#include <optional>
#include <vector>

#include <catch2/catch.hpp>

#include "Dispatch/DataCentreDirectory.h"
#include "Dispatch/DispatchFixture.h"
#include "Dispatch/DispatchStateMachine.h"
#include "Dispatch/EvacuationRequests.h"

using namespace almondspoke;
using namespace almondspoke::dispatch;
using almondspoke::testing::ManualClock;
using almondspoke::testing::TextSink;
using std::chrono::milliseconds;

namespace {

/** \brief Requests whose proposals are answered by the test. */
class RequestsFixture
{
public:
  struct Proposal
  {
    std::string mCommand;
    EvacuationRequests::ProposalDone mDone;
  };

  void Submit(bool aIsEvacuated = true)
  {
    mRequests.Submit("riga", aIsEvacuated, [this](const Result<void>& aResult) {
      ++mAnswers;
      mLast =
        aResult ? std::nullopt : std::make_optional(aResult.error().Kind());
    });
  }
  /** Applies a proposal and answers it. */
  void Commit(std::size_t aProposal)
  {
    const Proposal proposal = mProposals.at(aProposal);
    proposal.mDone(mMachine.Apply(1, proposal.mCommand));
  }
  void Fail(std::size_t aProposal, ErrorKind aKind)
  {
    const Proposal proposal = mProposals.at(aProposal);
    proposal.mDone(Error(aKind, "failed"));
  }
  void Run(milliseconds aTime)
  {
    for (int i = 0; i < aTime / milliseconds(10); ++i) {
      mClock.Advance(milliseconds(10));
      mRequests.Tick();
    }
  }
  bool IsEvacuated() const
  {
    return mMachine.CurrentEvacuations().IsEvacuated("riga");
  }

  ManualClock mClock;
  TextSink mSink;
  EventLog mLog{ mClock, mSink };
  DispatchStateMachine mMachine{ [](const auto&) {} };
  /** Revision that this instance knows. */
  std::uint64_t mRevision = 0;
  std::vector<Proposal> mProposals;
  int mAnswers = 0;
  /** Error of the last answer; unset if the request was stored. */
  std::optional<ErrorKind> mLast;
  EvacuationRequests mRequests{
    mClock,
    mLog,
    [this](const std::string& aCommand,
           const EvacuationRequests::ProposalDone& aDone) {
      mProposals.push_back({ aCommand, aDone });
    },
    [this] { return mRevision; }
  };
};

}

TEST_CASE("Evacuation requests: acknowledged once they are stored, not before")
{
  RequestsFixture fixture;
  fixture.Submit();
  fixture.Run(milliseconds(500));
  CHECK(fixture.mAnswers == 0);
  fixture.Commit(0);
  CHECK(fixture.mAnswers == 1);
  CHECK_FALSE(fixture.mLast);
  CHECK(fixture.IsEvacuated());
  fixture.Submit();
  fixture.Commit(1);
  CHECK(fixture.mAnswers == 2);
  CHECK_FALSE(fixture.mLast);
  CHECK(fixture.mRequests.Counters().mStored == 2);
  fixture.mLog.Flush();
  CHECK(fixture.mSink.mText.find("event=evacuation-requested data_centre=riga "
                                 "evacuate=yes known=yes") !=
        std::string::npos);
  CHECK(fixture.mSink.mText.find("event=evacuation-answered data_centre=riga "
                                 "evacuate=yes stored=yes reason=\"\" "
                                 "took_ms=500") != std::string::npos);
}

TEST_CASE("Evacuation requests: an unknown outcome is proposed again")
{
  RequestsFixture fixture;
  fixture.Submit();
  // The leader was replaced after it had stored the request.
  fixture.mMachine.Apply(1, fixture.mProposals.at(0).mCommand);
  fixture.Fail(0, ErrorKind::OutcomeUnknown);
  CHECK(fixture.mAnswers == 0);
  fixture.Run(milliseconds(100));
  REQUIRE(fixture.mProposals.size() == 2);
  fixture.Commit(1);
  CHECK(fixture.mAnswers == 1);
  CHECK_FALSE(fixture.mLast);
}

TEST_CASE("Evacuation requests: without a leader, the answer follows after a "
          "second")
{
  RequestsFixture fixture;
  fixture.Submit();
  fixture.Run(milliseconds(990));
  CHECK(fixture.mAnswers == 0);
  fixture.Run(milliseconds(10));
  CHECK(fixture.mAnswers == 1);
  CHECK(fixture.mLast == ErrorKind::OutcomeUnknown);
  // What happens to the proposal later gives no second answer.
  fixture.Commit(0);
  fixture.Run(milliseconds(2000));
  CHECK(fixture.mAnswers == 1);
  CHECK(fixture.mRequests.Counters().mNotStored == 1);
}

TEST_CASE("Evacuation requests: what cannot be stored now is answered at once")
{
  for (const ErrorKind kind :
       { ErrorKind::NoQuorum, ErrorKind::QueueFull, ErrorKind::NotReady }) {
    RequestsFixture fixture;
    fixture.Submit();
    fixture.Fail(0, kind);
    CHECK(fixture.mAnswers == 1);
    CHECK(fixture.mLast == kind);
  }
}

TEST_CASE("Evacuation requests: an instance that lags behind stores them all "
          "the same")
{
  RequestsFixture fixture;
  fixture.Submit(true);
  fixture.Commit(0);
  fixture.mRevision = 0;
  fixture.Submit(false);
  fixture.Commit(1);
  CHECK(fixture.mAnswers == 1);
  fixture.Run(milliseconds(10));
  fixture.Commit(2);
  CHECK(fixture.mAnswers == 2);
  CHECK_FALSE(fixture.mLast);
  CHECK_FALSE(fixture.IsEvacuated());
}

TEST_CASE("Evacuation requests: a proposal that outlasts its request does not "
          "undo later ones")
{
  RequestsFixture fixture;
  fixture.Submit(true);
  fixture.Run(milliseconds(1000));
  REQUIRE(fixture.mAnswers == 1);
  fixture.Submit(true);
  fixture.Commit(1);
  fixture.mRevision = 1;
  fixture.Submit(false);
  fixture.Commit(2);
  fixture.Commit(0);
  fixture.Run(milliseconds(1000));
  CHECK(fixture.mProposals.size() == 3);
  CHECK_FALSE(fixture.IsEvacuated());
}

TEST_CASE("Evacuation requests: the number of open ones is bounded")
{
  RequestsFixture fixture;
  for (int i = 0; i < 100; ++i) {
    fixture.Submit();
  }
  CHECK(fixture.mProposals.size() == 64);
  CHECK(fixture.mAnswers == 36);
  CHECK(fixture.mLast == ErrorKind::QueueFull);
}

TEST_CASE("Data centres: known from settings and reports, in a bounded number")
{
  DataCentreDirectory directory;
  directory.AddConfigured({ "riga", "" });
  Clock::Monotonic now{};
  directory.OnReported("", now);
  directory.OnReported("tartu", now);
  CHECK(directory.All() == DataCentreNames{ "riga", "tartu" });
  CHECK_FALSE(directory.IsKnown(""));
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(10);
    directory.OnReported("made-up" + std::to_string(i), now);
    directory.OnReported("tartu", now);
  }
  CHECK(directory.All().size() == DataCentreDirectory::kMaxReported + 1);
  CHECK(directory.IsKnown("riga"));
  CHECK(directory.IsKnown("tartu"));
}
