#pragma once

#include <string>
#include <vector>

namespace almondspoke::bench {

/** \brief A point of a line. */
struct PlotPoint
{
  double mX = 0;
  double mY = 0;
};

/** \brief A named line of a plot. */
struct PlotLine
{
  std::string mName;
  std::vector<PlotPoint> mPoints;
};

/** \brief A tick mark on the x axis. */
struct PlotTick
{
  double mX = 0;
  std::string mText;
};

/** \brief A line plot with a logarithmic y axis, written as SVG. */
struct SvgPlot
{
  std::string mTitle;
  std::string mXLabel;
  std::string mYLabel;
  std::vector<PlotTick> mXTicks;
  std::vector<PlotLine> mLines;

  /** Returns the SVG document. Points with y of 0 or less are left out. */
  std::string ToSvg() const;
};

}
