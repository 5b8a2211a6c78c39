#pragma once

#include "world.h"

namespace review {

/** Plays a case and returns kHeld, kBroken or kCouldNotRun. */
using Case = int (*)(Record&);

int
PlayLabel(Record& record);
int
PlayReborn(Record& record);
int
PlayWide(Record& record);
int
PlayForeign(Record& record);

inline const std::map<std::string, Case>&
Cases()
{
  static const std::map<std::string, Case> cases = {
    { "label", &PlayLabel },
    { "reborn", &PlayReborn },
    { "wide", &PlayWide },
    { "foreign", &PlayForeign },
  };
  return cases;
}

}
