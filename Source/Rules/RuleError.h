#pragma once

#include <string>
#include <vector>

namespace almondspoke {

/** \brief One error in a rules file and its position. */
struct RuleError
{
  /** Line, starting at 1. */
  int mLine = 0;
  /** Column in bytes, starting at 1. */
  int mColumn = 0;
  /** Description of the error, with the invalid text. */
  std::string mProblem;
  /** What is allowed in its place. */
  std::string mAllowed;

  /** Returns "line 3, column 9: PROBLEM (allowed: ...)". */
  std::string ToString() const;
};

/** Formats errors, one line for each. */
std::string
FormatErrors(const std::vector<RuleError>& aErrors);

}
