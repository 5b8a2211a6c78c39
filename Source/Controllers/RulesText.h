#pragma once

#include <string>

#include "Rules/RuleSet.h"

namespace almondspoke {

/** \brief A version of the rules with its text. */
struct RulesText
{
  RulesVersion mVersion = 0;
  std::string mText;
};

}
