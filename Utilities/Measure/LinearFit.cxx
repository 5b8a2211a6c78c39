#include "LinearFit.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>

#include <malloc.h>

namespace almondspoke::measure {

LinearFit
FitLine(const std::vector<Point>& aPoints)
{
  const auto count = static_cast<double>(aPoints.size());
  double sumX = 0;
  double sumY = 0;
  double sumXX = 0;
  double sumXY = 0;
  double largest = 0;
  for (const Point& point : aPoints) {
    sumX += point.mX;
    sumY += point.mY;
    sumXX += point.mX * point.mX;
    sumXY += point.mX * point.mY;
    largest = std::max(largest, std::fabs(point.mY));
  }
  LinearFit fit;
  const double spread = count * sumXX - sumX * sumX;
  if (spread != 0) {
    fit.mSlope = (count * sumXY - sumX * sumY) / spread;
  }
  fit.mIntercept = (sumY - fit.mSlope * sumX) / count;
  for (const Point& point : aPoints) {
    const double expected = fit.mIntercept + fit.mSlope * point.mX;
    if (largest > 0) {
      fit.mWorstResidual =
        std::max(fit.mWorstResidual, std::fabs(point.mY - expected) / largest);
    }
  }
  if (aPoints.size() >= 2) {
    const Point& last = aPoints.back();
    const Point& before = aPoints[aPoints.size() - 2];
    if (before.mX > 0 && before.mY > 0 && last.mY > 0) {
      fit.mLastExponent =
        std::log(last.mY / before.mY) / std::log(last.mX / before.mX);
    }
  }
  return fit;
}

double
AllocatedBytes()
{
  const struct mallinfo2 info = ::mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

double
ProcessorSeconds()
{
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

void
PrintSeriesHead()
{
  PrintRow({ "cost",
             "by",
             "unit",
             "measured",
             "intercept",
             "slope",
             "worst residual",
             "last exponent" });
  PrintRow({ "---", "---", "---", "---", "---", "---", "---", "---" });
}

void
PrintRow(const std::vector<std::string>& aCells)
{
  std::string row = "|";
  for (const std::string& cell : aCells) {
    row += " " + cell + " |";
  }
  std::printf("%s\n", row.c_str());
}

std::string
Number(double aValue)
{
  char text[32];
  std::snprintf(text, sizeof(text), "%.4g", aValue);
  return text;
}

void
PrintSeries(const std::string& aName,
            const std::string& aXUnit,
            const std::string& aYUnit,
            const std::vector<Point>& aPoints)
{
  std::string points;
  for (const Point& point : aPoints) {
    points += points.empty() ? "" : ", ";
    points += Number(point.mX) + ": " + Number(point.mY);
  }
  const LinearFit fit = FitLine(aPoints);
  PrintRow({ aName,
             aXUnit,
             aYUnit,
             points,
             Number(fit.mIntercept),
             Number(fit.mSlope),
             Number(fit.mWorstResidual),
             Number(fit.mLastExponent) });
}

}
