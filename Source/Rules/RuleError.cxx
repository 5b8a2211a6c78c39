#include "Rules/RuleError.h"

#include <fmt/format.h>

namespace almondspoke {

std::string
RuleError::ToString() const
{
  return fmt::format(
    "line {}, column {}: {} (allowed: {})", mLine, mColumn, mProblem, mAllowed);
}

std::string
FormatErrors(const std::vector<RuleError>& aErrors)
{
  std::string text;
  for (const RuleError& error : aErrors) {
    if (!text.empty()) {
      text += '\n';
    }
    text += error.ToString();
  }
  return text;
}

}
