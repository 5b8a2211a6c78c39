// Prints what claims cost in memory, snapshot and time, and what placement and
// cancellation cost by size. Usage: measure_jobs [series]
// "series" prints the rows of Utilities/measure capacity only.

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <unistd.h>

#include "Jobs/SubmissionStateMachine.h"
#include "Jobs/WorkerPool.h"
#include "JobsFixture.h"
#include "LinearFit.h"

using namespace almondspoke;

namespace {

using Timer = std::chrono::steady_clock;

double
Seconds(Timer::time_point aSince)
{
  return std::chrono::duration<double>(Timer::now() - aSince).count();
}

// Resident memory of this process in bytes.
std::size_t
ResidentBytes()
{
  std::ifstream file("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

KeyHash
KeyOf(std::uint64_t aNumber)
{
  const std::uint64_t mixed = aNumber * 0x9E3779B97F4A7C15ULL;
  return { mixed ^ (mixed >> 31U), mixed * 0xBF58476D1CE4E5B9ULL };
}

/** \brief What claims and their answers cost in one submission group. */
struct ClaimsCost
{
  double mSeconds = 0;
  double mMemoryBytes = 0;
  double mCommandBytes = 0;
  double mSnapshotBytes = 0;
};

ClaimsCost
MeasureClaims(std::uint32_t aClaims, std::size_t aAnswerBytes, bool aPrint)
{
  auto machine = std::make_unique<SubmissionStateMachine>();
  LogIndex index = 0;
  AdvanceClockCommand advance;
  advance.mLimits.mMaxClaims = aClaims;
  advance.mLimits.mMaxPlainKeys = aClaims;
  advance.mLimits.mMaxTotalAnswerBytes = UINT64_MAX;
  machine->Apply(++index, Encode(advance));
  RegisterExecutorCommand registration;
  registration.mInstance = "a";
  const auto executor = DecodeRegisterExecutorResponse(
    machine->Apply(++index, Encode(registration)));
  std::vector<std::string> claims;
  std::vector<std::string> records;
  claims.reserve(aClaims);
  records.reserve(aClaims);
  std::size_t commandBytes = 0;
  for (std::uint32_t number = 0; number < aClaims; ++number) {
    ClaimCommand claim;
    claim.mKey = KeyOf(number);
    claim.mKeyEpoch = 1;
    claim.mBodyHash = claim.mKey.mHigh;
    claim.mClaimant = claim.mKey.mLow;
    claim.mExecutor = executor.value().mEpoch;
    claims.push_back(Encode(claim));
    RecordAnswerCommand record;
    record.mKey = claim.mKey;
    record.mExecutor = claim.mExecutor;
    record.mAnswer.assign(aAnswerBytes, 'x');
    records.push_back(Encode(record));
    commandBytes += claims.back().size() + records.back().size();
  }
  const std::size_t before = ResidentBytes();
  auto start = Timer::now();
  for (const std::string& claim : claims) {
    machine->Apply(++index, claim);
  }
  const double claimTime = Seconds(start);
  start = Timer::now();
  for (const std::string& record : records) {
    machine->Apply(++index, record);
  }
  const double recordTime = Seconds(start);
  const double memory = static_cast<double>(ResidentBytes() - before);
  start = Timer::now();
  const std::string snapshot = machine->TakeSnapshot();
  const double snapshotTime = Seconds(start);
  start = Timer::now();
  SubmissionStateMachine restored;
  const bool restoredWell = restored.RestoreSnapshot(snapshot).has_value();
  const double restoreTime = Seconds(start);
  start = Timer::now();
  ExecutorLostCommand lost;
  lost.mExecutor = executor.value().mEpoch;
  machine->Apply(++index, Encode(lost));
  const double lostTime = Seconds(start);
  const ClaimsCost cost{ claimTime + recordTime,
                         memory,
                         static_cast<double>(commandBytes),
                         static_cast<double>(snapshot.size()) };
  if (!aPrint) {
    return cost;
  }
  std::printf("%9u %7zu %10.0f %10.0f %10.0f %8.0f %8.0f %8.2f %8.2f %8.1f%s\n",
              aClaims,
              aAnswerBytes,
              aClaims / claimTime,
              aClaims / recordTime,
              memory / aClaims,
              static_cast<double>(snapshot.size()) / aClaims,
              static_cast<double>(commandBytes) / aClaims,
              snapshotTime,
              restoreTime,
              lostTime * 1e6,
              restoredWell ? "" : " NOT RESTORED");
  return cost;
}

std::vector<Endpoint>
Workers(int aWorkers)
{
  testing::FakeEndpointView endpoints;
  for (int worker = 0; worker < aWorkers; ++worker) {
    endpoints.Add("worker-" + std::to_string(worker),
                  "rack-" + std::to_string(worker / 6),
                  { 32, 128ULL << 30U, worker % 4 == 0 ? 2U : 0U },
                  64);
  }
  return endpoints.mEndpoints;
}

/** Returns the milliseconds that one job takes. */
double
MeasurePlacement(int aWorkers, int aTasks, bool aPrint)
{
  const testing::ManualClock clock;
  WorkerPool pool(clock);
  const std::vector<Endpoint> workers = Workers(aWorkers);
  const auto updateStart = Timer::now();
  pool.Update(workers);
  const double updateTime = Seconds(updateStart);
  constexpr int kRounds = 20;
  const Resources need{ 0.5, 1ULL << 30U, 0 };
  int placed = 0;
  int racks = 0;
  double time = 0;
  for (int round = 0; round < kRounds; ++round) {
    std::unordered_map<std::string, std::uint32_t> rackCounts;
    std::vector<EndpointName> taken;
    const auto start = Timer::now();
    for (int task = 0; task < aTasks; ++task) {
      PlacementQuery query;
      query.mService = "preview";
      query.mRequired = need;
      query.mRackCounts = &rackCounts;
      query.mSeed = static_cast<std::uint64_t>(round) * kMaxTasksPerJob + task;
      const Worker* worker = pool.Choose(query);
      if (worker == nullptr) {
        break;
      }
      ++rackCounts[worker->mRack];
      pool.Allocate(worker->mName, need);
      taken.push_back(worker->mName);
    }
    time += Seconds(start);
    placed += static_cast<int>(taken.size());
    racks += static_cast<int>(rackCounts.size());
    for (const EndpointName& worker : taken) {
      pool.Release(worker, need);
    }
  }
  const double jobMilliseconds = time / kRounds * 1e3;
  if (!aPrint) {
    return jobMilliseconds;
  }
  std::printf("%8d %6d %8d %12.2f %12.3f %10.1f %12.2f\n",
              aWorkers,
              aTasks,
              placed / kRounds,
              time / placed * 1e6,
              jobMilliseconds,
              static_cast<double>(racks) / kRounds,
              updateTime * 1e3);
  return jobMilliseconds;
}

void
MeasureCancellation(int aJobs)
{
  testing::JobsFixture fixture;
  fixture.mSender.mBehaviour = testing::FakeTaskSender::Behaviour::Hold;
  const std::string body = testing::JobBody(10);
  auto start = Timer::now();
  for (int job = 0; job < aJobs; ++job) {
    fixture.mA.Submit("zagreb:" + std::to_string(job), body);
  }
  const double submitTime = Seconds(start);
  start = Timer::now();
  for (int job = 0; job < aJobs; ++job) {
    fixture.mA.Cancel("zagreb:" + std::to_string(job));
  }
  const double cancelTime = Seconds(start);
  std::printf("%8d %12.1f %12.1f %8u %8zu\n",
              aJobs,
              submitTime / aJobs * 1e6,
              cancelTime / aJobs * 1e6,
              fixture.mA.mRunner.AllocatedSlots(),
              fixture.mSender.mRunning.size());
}

void
PrintJobsSeries()
{
  using measure::Point;
  constexpr double kMicroseconds = 1e6;
  std::vector<Point> processor;
  std::vector<Point> memory;
  std::vector<Point> journal;
  std::vector<Point> snapshot;
  for (const std::uint32_t claims :
       { 10'000U, 50'000U, 200'000U, 1'000'000U }) {
    const ClaimsCost cost = MeasureClaims(claims, 0, false);
    processor.push_back({ double(claims), cost.mSeconds * kMicroseconds });
    memory.push_back({ double(claims), cost.mMemoryBytes });
    journal.push_back({ double(claims), cost.mCommandBytes });
    snapshot.push_back({ double(claims), cost.mSnapshotBytes });
  }
  measure::PrintSeries("claim and answer, applied", "claims", "us", processor);
  measure::PrintSeries("claims kept in memory", "claims", "B", memory);
  measure::PrintSeries("commands of claim and answer", "claims", "B", journal);
  measure::PrintSeries("submission snapshot", "claims", "B", snapshot);
  for (const int workers : { 50, 1600 }) {
    std::vector<Point> placement;
    for (const int tasks : { 1, 10, 100, 300, 580 }) {
      placement.push_back(
        { double(tasks), MeasurePlacement(workers, tasks, false) });
    }
    measure::PrintSeries("placement of a job on " + std::to_string(workers) +
                           " workers",
                         "tasks",
                         "ms",
                         placement);
  }
}

}

int
main(int aCount, char** aArguments)
{
  if (aCount > 1 && std::string_view(aArguments[1]) == "series") {
    PrintJobsSeries();
    return 0;
  }
  if (aCount > 1) {
    std::fprintf(stderr,
                 "measure_jobs: unknown argument '%s' (allowed: series)\n",
                 aArguments[1]);
    return 2;
  }
  std::printf("claims (one thread, no journal)\n"
              "   claims  answerB   claims/s  answers/s  memB/claim snapB/cl "
              " logB/cl  snap_s  restore_s  lost_us\n");
  for (const std::uint32_t claims : { 10'000U, 100'000U, 1'000'000U }) {
    MeasureClaims(claims, 0, true);
  }
  MeasureClaims(100'000, 200, true);
  std::printf("\nplacement (need: half a core, 1 GiB; six workers to a rack)\n"
              " workers  tasks   placed      us/task       ms/job      racks "
              "   update_ms\n");
  for (const int workers : { 10, 50, 200, 2000 }) {
    for (const int tasks : { 1, 10, 100, 580 }) {
      MeasurePlacement(workers, tasks, true);
    }
  }
  std::printf("\ncancellation wave (jobs of 10 tasks, 8 tasks running)\n"
              "    jobs    us/submit    us/cancel    slots  running\n");
  for (const int jobs : { 1000, 3000, 10'000 }) {
    MeasureCancellation(jobs);
  }
  return 0;
}
