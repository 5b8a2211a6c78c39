// More work than leader and relays bear: what is served, and what comes after.
#include <catch2/catch.hpp>

#include "Dispatch/SimulatedInstallation.h"

using almondspoke::testing::QueueFigures;
using almondspoke::testing::SimulatedInstallation;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kSeed = 1;
constexpr double kBorneLoad = 0.9;
constexpr double kServedShare = 0.95;

double
ShareOf(const QueueFigures& aFigures)
{
  return static_cast<double>(aFigures.mServed) /
         static_cast<double>(aFigures.mOffered);
}

/** Returns the served tasks a second as a part of the capacity. */
double
GoodputOf(const SimulatedInstallation::Figures& aFigures, seconds aTime)
{
  std::size_t jobs = 0;
  for (const auto& [queue, figures] : aFigures) {
    jobs += figures.mServed;
  }
  return static_cast<double>(jobs * SimulatedInstallation::kTasksOfJob) /
         static_cast<double>(aTime.count()) / SimulatedInstallation::kCapacity;
}

void
CheckAllServed(SimulatedInstallation& aInstallation)
{
  for (const auto& [queue, figures] :
       aInstallation.Offer(kBorneLoad, seconds(3))) {
    INFO(queue);
    CHECK(ShareOf(figures) >= kServedShare);
  }
}

}

TEST_CASE("Overload: more than leader and relays bear lowers the goodput "
          "little, and does not last")
{
  const double load = GENERATE(1.3, 2.0);
  INFO("offered " << load << " times the capacity");
  SimulatedInstallation installation(kSeed);
  {
    INFO("before");
    CheckAllServed(installation);
  }
  constexpr seconds kOverloadTime{ 6 };
  const auto figures = installation.Offer(load, kOverloadTime);
  CHECK(GoodputOf(figures, kOverloadTime) >= 0.8);
  CHECK(ShareOf(figures.at("urgent")) >= ShareOf(figures.at("patient")));
  installation.Offer(kBorneLoad, seconds(5));
  {
    INFO("after");
    CheckAllServed(installation);
  }
  installation.Offer(0, seconds(3));
  CHECK(installation.CountedButAbsentRuns() == 0);
  CHECK(installation.Errors().empty());
}
