#pragma once

#include <string>
#include <vector>

namespace almondspoke::measure {

/** \brief One measured point: a quantity and its cost. */
struct Point
{
  double mX = 0;
  double mY = 0;
};

/** \brief A straight line through measured points. */
struct LinearFit
{
  double mIntercept = 0;
  double mSlope = 0;
  /** Largest distance of a point from the line, as a share of the largest
   * measured value. */
  double mWorstResidual = 0;
  /** Exponent of the power law between the last two points; above 1 the cost
   * grows faster than the quantity. */
  double mLastExponent = 0;
};

/** Fits a line by least squares; needs two points or more. */
LinearFit
FitLine(const std::vector<Point>& aPoints);

/** Bytes that this process has allocated and not freed. */
double
AllocatedBytes();

/** Processor time of this process in seconds. */
double
ProcessorSeconds();

/** Prints the head of the table that PrintSeries fills. */
void
PrintSeriesHead();

/** Prints one row of a Markdown table. */
void
PrintRow(const std::vector<std::string>& aCells);

/** Formats a number with four significant digits. */
std::string
Number(double aValue);

/** Prints the points and their fit as rows of a Markdown table. */
void
PrintSeries(const std::string& aName,
            const std::string& aXUnit,
            const std::string& aYUnit,
            const std::vector<Point>& aPoints);

}
