// Measures what membership and the endpoint table cost an instance, one
// quantity at a time: instances 3 to 45, endpoints 10 to 20,000.

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Base/Clock.h"
#include "LinearFit.h"
#include "Membership/EndpointTable.h"
#include "Membership/MembershipCore.h"
#include "Transport/PeerFrameCodec.h"

using namespace almondspoke;
using namespace almondspoke::measure;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kTick{ 50 };
constexpr int kTicksPerSecond = 20;
constexpr int kSettleSeconds = 20;
constexpr int kMeasuredSeconds = 60;
constexpr int kAnnouncementsPerEndpoint = 3;

/** \brief A clock that the measurement advances. */
class SteppedClock : public Clock
{
public:
  Monotonic MonotonicNow() const override { return mNow; }
  Wall WallNow() const override { return {}; }
  void Advance(milliseconds aBy) { mNow += aBy; }

private:
  Monotonic mNow{ std::chrono::hours(1) };
};

/** \brief What one instance sends and spends on membership. */
struct MembershipCost
{
  double mBytesPerSecond = 0;
  double mMessagesPerSecond = 0;
  double mProcessorShare = 0;
};

MembershipCost
MeasureMembership(int aInstances)
{
  std::vector<InstanceIdentity> seeds;
  for (int i = 0; i < aInstances; ++i) {
    seeds.push_back({ "instance-" + std::to_string(i), "zagreb", 0 });
  }
  std::map<InstanceName, std::unique_ptr<MembershipCore>> cores;
  std::uint32_t randomSeed = 1;
  for (const InstanceIdentity& seed : seeds) {
    cores[seed.mName] = std::make_unique<MembershipCore>(
      MembershipOptions(), seed, seeds, randomSeed++);
  }
  SteppedClock clock;
  double bytes = 0;
  double messages = 0;
  const auto run = [&](int aSeconds) {
    for (int tick = 0; tick < aSeconds * kTicksPerSecond; ++tick) {
      clock.Advance(kTick);
      for (auto& [name, core] : cores) {
        core->Tick(clock.MonotonicNow());
      }
      for (int round = 0; round < 2; ++round) {
        for (auto& [name, core] : cores) {
          for (const auto& message : core->TakeOutgoing()) {
            const std::string payload =
              EncodeMembershipMessage(message.mMessage);
            bytes += static_cast<double>(
              EncodePeerFrame({ PeerChannel::Membership, 0, payload }).size());
            ++messages;
            cores[message.mTo]->OnMessage(
              name,
              DecodeMembershipMessage(payload).value(),
              clock.MonotonicNow());
          }
        }
      }
    }
  };
  run(kSettleSeconds);
  bytes = 0;
  messages = 0;
  const double processor = ProcessorSeconds();
  run(kMeasuredSeconds);
  const double spent = ProcessorSeconds() - processor;
  const double instanceSeconds = aInstances * kMeasuredSeconds;
  return { bytes / instanceSeconds,
           messages / instanceSeconds,
           spent / instanceSeconds };
}

/** \brief What one instance holds, sends and spends on its endpoint table. */
struct TableCost
{
  double mMemoryBytes = 0;
  double mRenewalBytesPerSecond = 0;
  double mSyncBytes = 0;
  double mProcessorShare = 0;
};

EndpointAnnouncement
Worker(int aNumber)
{
  EndpointAnnouncement worker;
  worker.mName = "worker-" + std::to_string(aNumber);
  worker.mService = "preview";
  worker.mAddress = "10.0.0.1:" + std::to_string(aNumber);
  worker.mSlots = 8;
  worker.mConnections = 64;
  worker.mCores = 32;
  worker.mMemoryBytes = 128ULL << 30U;
  worker.mRack = "rack-" + std::to_string(aNumber / 6);
  worker.mTimeToLive = milliseconds(3000);
  worker.mIncarnation = 1;
  return worker;
}

TableCost
MeasureTable(int aEndpoints)
{
  SteppedClock clock;
  EndpointTableOptions options;
  options.mMaxEndpoints = 100000;
  const double memoryBefore = AllocatedBytes();
  EndpointTable sender(clock, options, "zagreb", 1);
  for (int i = 0; i < aEndpoints; ++i) {
    static_cast<void>(sender.Announce(Worker(i)).has_value());
  }
  const double memory = AllocatedBytes() - memoryBefore;
  EndpointTable receiver(clock, options, "zagreb", 2);
  for (const EndpointMessage& message : sender.Tick()) {
    receiver.OnMessage("sender", message);
  }
  double bytes = 0;
  constexpr int kSeconds = 3;
  const double processor = ProcessorSeconds();
  for (int second = 0; second < kSeconds; ++second) {
    for (int i = 0; i < aEndpoints; ++i) {
      static_cast<void>(sender.Announce(Worker(i)).has_value());
    }
    for (int tick = 0; tick < kTicksPerSecond; ++tick) {
      clock.Advance(kTick);
      for (const EndpointMessage& message : sender.Tick()) {
        const std::string payload = EncodeEndpointMessage(message);
        bytes += static_cast<double>(payload.size());
        receiver.OnMessage("sender", DecodeEndpointMessage(payload).value());
      }
      receiver.Tick();
    }
  }
  const double spent = ProcessorSeconds() - processor;
  const auto sync = sender.OnMessage("receiver", receiver.SyncRequest());
  const double syncBytes =
    static_cast<double>(EncodeEndpointMessage(*sync).size());
  return { memory, bytes / kSeconds, syncBytes, spent / kSeconds };
}

}

int
main()
{
  PrintSeriesHead();
  std::vector<Point> bytes;
  std::vector<Point> messages;
  std::vector<Point> processor;
  for (const int instances : { 3, 6, 9, 18, 30, 45 }) {
    const MembershipCost cost = MeasureMembership(instances);
    bytes.push_back({ double(instances), cost.mBytesPerSecond });
    messages.push_back({ double(instances), cost.mMessagesPerSecond });
    processor.push_back({ double(instances), cost.mProcessorShare });
  }
  PrintSeries("membership sent", "instances", "B/s", bytes);
  PrintSeries("membership sent", "instances", "messages/s", messages);
  PrintSeries("membership processor", "instances", "cores", processor);

  std::vector<Point> memory;
  std::vector<Point> renewals;
  std::vector<Point> sync;
  std::vector<Point> tableProcessor;
  for (const int endpoints : { 10, 100, 400, 1600, 6400, 20000 }) {
    const TableCost cost = MeasureTable(endpoints);
    memory.push_back({ double(endpoints), cost.mMemoryBytes });
    renewals.push_back({ double(endpoints), cost.mRenewalBytesPerSecond });
    sync.push_back({ double(endpoints), cost.mSyncBytes });
    tableProcessor.push_back({ double(endpoints), cost.mProcessorShare });
  }
  PrintSeries("endpoint table memory", "endpoints", "B", memory);
  PrintSeries("renewals to one instance, each endpoint once a second",
              "endpoints",
              "B/s",
              renewals);
  PrintSeries("sync to one instance", "endpoints", "B", sync);
  PrintSeries("two tables' processor, each endpoint once a second",
              "endpoints",
              "cores",
              tableProcessor);
  return 0;
}
