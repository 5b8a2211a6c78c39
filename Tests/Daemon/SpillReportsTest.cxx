#include <deque>

#include <catch2/catch.hpp>

#include "Daemon/SpillReports.h"
#include "Support/FakePeerRpc.h"
#include "Support/FakeViews.h"
#include "Support/ManualClock.h"

using namespace almondspoke;
using namespace almondspoke::testing;
using namespace std::chrono_literals;

namespace {

/** \brief Queues the calls until the test answers them. */
class HeldPeerRpc : public FakePeerRpc
{
public:
  void Call(const InstanceName& aTo,
            const std::string&,
            std::string aRequest,
            std::chrono::milliseconds,
            Done aDone) override
  {
    mTo.push_back(aTo);
    mRequest = std::move(aRequest);
    mDone.push_back(std::move(aDone));
  }

  std::vector<InstanceName> mTo;
  std::string mRequest;
  std::deque<Done> mDone;
};

/** \brief SpillReports of instance zagreb-1 in an installation with three data
 * centres. */
struct Fixture
{
  explicit Fixture(bool aIsOn = true)
    : mReports({ mClock,
                 mRpc,
                 mInstances,
                 { { "riga-1", "127.0.0.1:1" },
                   { "riga-2", "127.0.0.1:2" },
                   { "riga-3", "127.0.0.1:3" },
                   { "sisak-1", "127.0.0.1:4" },
                   { "zagreb-2", "127.0.0.1:5" } },
                 [this](const ServiceName&) { return mOwnRoom; },
                 aIsOn })
  {
    Add("riga-1", "riga");
    Add("riga-2", "riga", InstanceHealth::Dead);
    Add("riga-3", "riga").mDraining = true;
    Add("riga-4", "riga");
    Add("sisak-1", "sisak");
    Add("zagreb-1", "zagreb");
    Add("zagreb-2", "zagreb");
  }

  InstanceStatus& Add(const InstanceName& aName,
                      const DataCentreName& aDataCentre,
                      InstanceHealth aHealth = InstanceHealth::Alive)
  {
    mInstances.mInstances.push_back({ { aName, aDataCentre, 1 }, aHealth });
    return mInstances.mInstances.back();
  }

  /** Searches and takes the first free place, as the spill filter does. */
  void Find(const ServiceName& aService = "booking")
  {
    mReports.Find(aService,
                  [this, aService](std::vector<SpillCandidate> aCandidates) {
                    ++mServed;
                    mFound = std::move(aCandidates);
                    for (const SpillCandidate& candidate : mFound) {
                      if (mReports.TryReserve(aService, candidate.mInstance)) {
                        ++mTaken;
                        return;
                      }
                    }
                  });
  }

  /** Answers the oldest query as an instance with the given free capacity. */
  void AnswerWithRoom(std::uint32_t aRoom)
  {
    mOwnRoom = aRoom;
    mRpc.mHandlers.at("spill-room")("riga-1", mRpc.mRequest, mRpc.mDone[0]);
    mRpc.mDone.pop_front();
  }
  void AnswerWithError()
  {
    mRpc.mDone[0](Error(ErrorKind::PeerTimeout, "cut"));
    mRpc.mDone.pop_front();
  }

  ManualClock mClock;
  HeldPeerRpc mRpc;
  FakeInstanceView mInstances;
  std::uint32_t mOwnRoom = 0;
  int mServed = 0;
  int mTaken = 0;
  std::vector<SpillCandidate> mFound;
  SpillReports mReports;
};

}

TEST_CASE(
  "Spill reports: queries only live instances of other data centres, on "
  "demand and at most once a second")
{
  Fixture fixture;
  CHECK(fixture.mRpc.mTo.empty());
  fixture.Find();
  fixture.Find();
  std::sort(fixture.mRpc.mTo.begin(), fixture.mRpc.mTo.end());
  CHECK(fixture.mRpc.mTo == std::vector<InstanceName>{ "riga-1", "sisak-1" });
  CHECK(fixture.mServed == 0);
  fixture.mClock.Advance(2ms);
  fixture.AnswerWithRoom(1);
  CHECK(fixture.mTaken == 1);
  CHECK(fixture.mFound[0].mRoundTrip == 2ms);
  // The other request waits for the second report.
  CHECK(fixture.mServed == 1);
  fixture.AnswerWithRoom(4);
  CHECK(fixture.mTaken == 2);
  fixture.Find();
  CHECK(fixture.mTaken == 3);
  CHECK(fixture.mRpc.mTo.size() == 2);
  fixture.mClock.Advance(1s);
  fixture.Find();
  CHECK(fixture.mRpc.mTo.size() == 4);
  CHECK(fixture.mTaken == 3);
}

TEST_CASE(
  "Spill reports: capacity that is used up, refused or unreachable is not "
  "offered again")
{
  Fixture fixture;
  fixture.Find();
  fixture.AnswerWithError();
  fixture.AnswerWithRoom(2);
  CHECK(fixture.mTaken == 1);
  const InstanceName instance = fixture.mFound.at(0).mInstance;
  fixture.Find();
  fixture.Find();
  CHECK(fixture.mTaken == 2);
  CHECK(fixture.mServed == 3);
  fixture.mReports.ReleaseReservation("booking", instance, true);
  CHECK(fixture.mReports.TryReserve("booking", instance));
  fixture.mReports.ReleaseReservation("booking", instance, true);
  fixture.mReports.ReleaseReservation("booking", instance, false);
  CHECK_FALSE(fixture.mReports.TryReserve("booking", instance));
  CHECK_FALSE(fixture.mReports.TryReserve("booking", "unknown"));
}

TEST_CASE(
  "Spill reports: the search ends at once if no peer answers, if spilling "
  "is off or if there are too many services")
{
  Fixture cut;
  cut.Find();
  cut.AnswerWithError();
  cut.AnswerWithError();
  CHECK(cut.mServed == 1);
  CHECK(cut.mFound.empty());

  Fixture off(false);
  off.Find();
  CHECK(off.mServed == 1);
  CHECK(off.mRpc.mTo.empty());

  Fixture many;
  for (int i = 0; i < 100; ++i) {
    many.Find("service-" + std::to_string(i));
  }
  CHECK(many.mRpc.mTo.size() == 16);
  CHECK(many.mServed == 92);
}
