#pragma once

#include "Controllers/RulesText.h"

namespace almondspoke {

/** \brief Receives the rules that the configuration group has agreed on. */
class ConfigurationObserver
{
public:
  virtual ~ConfigurationObserver() = default;

  /** Called on the group's thread after a new version was applied and after a
   * snapshot was restored. The version of a snapshot may be lower than the
   * previous one. */
  virtual void OnConfiguration(const RulesText& aRules) = 0;
};

}
