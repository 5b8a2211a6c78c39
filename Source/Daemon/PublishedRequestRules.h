#pragma once

#include "Base/Clock.h"
#include "Controllers/RulesPublisher.h"
#include "Filters/RequestRules.h"

namespace almondspoke {

/** \brief Provides the published rules to the request path.
 *
 * The rules are known once the configuration group or a peer has confirmed a
 * version, and stay known from then on: an instance that loses its connections
 * to the others continues with its last version. */
class PublishedRequestRules : public RequestRules
{
public:
  PublishedRequestRules(const RulesPublisher& aPublisher, const Clock& aClock);

  bool AreKnown() const override;
  RequestPolicy PolicyOf(std::string_view aKind) const override;

private:
  const RulesPublisher& mPublisher;
  const Clock& mClock;
};

}
