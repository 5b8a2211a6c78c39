// Prints the row of a series that a script has measured.
// Usage: measure_fit COST BY UNIT QUANTITY:VALUE QUANTITY:VALUE ...

#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "LinearFit.h"

using namespace almondspoke::measure;

int
main(int aCount, char** aArguments)
{
  constexpr int kFirstPoint = 4;
  constexpr int kFewestPoints = 2;
  if (aCount < kFirstPoint + kFewestPoints) {
    std::fprintf(stderr,
                 "usage: measure_fit COST BY UNIT QUANTITY:VALUE "
                 "QUANTITY:VALUE ...\n");
    return 2;
  }
  std::vector<Point> points;
  for (int argument = kFirstPoint; argument < aCount; ++argument) {
    Point point;
    char end = 0;
    if (std::sscanf(
          aArguments[argument], "%lf:%lf%c", &point.mX, &point.mY, &end) != 2) {
      std::fprintf(stderr,
                   "measure_fit: unknown point '%s' (allowed: "
                   "QUANTITY:VALUE)\n",
                   aArguments[argument]);
      return 2;
    }
    points.push_back(point);
  }
  PrintSeries(aArguments[1], aArguments[2], aArguments[3], points);
  return 0;
}
