#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Base/EnumNames.h"
#include "Dispatch/Manifest.h"

namespace almondspoke::dispatch {

/** \brief Kind of a finding about a manifest. */
enum class ManifestFindingKind : std::uint8_t
{
  /** The entry matches no request, or nothing uses it. */
  Unreachable,
  /** Two settings cannot both take effect. */
  Contradiction,
  /** The entry differs from the manifest in force. */
  Change
};

inline constexpr std::array<EnumName<ManifestFindingKind>, 3>
  kManifestFindingNames = { {
    { ManifestFindingKind::Unreachable, "unreachable" },
    { ManifestFindingKind::Contradiction, "contradiction" },
    { ManifestFindingKind::Change, "change" },
  } };

inline std::string_view
NameOf(ManifestFindingKind aKind)
{
  return NameOf(kManifestFindingNames, aKind);
}

/** \brief A finding about one entry of a manifest. */
struct ManifestFinding
{
  ManifestFindingKind mKind = ManifestFindingKind::Unreachable;
  /** The entry, for example "queue 'quotes'". */
  std::string mEntry;
  /** What was found, and what is allowed or was in force before. */
  std::string mText;
};

/** Returns entries that can never match a request and limits that contradict
 * each other. The manifest must be valid (see CheckManifest()). */
std::vector<ManifestFinding>
FindManifestProblems(const Manifest& aManifest);

/** Returns what a manifest changes.
 * \param aInForce manifest in force */
std::vector<ManifestFinding>
FindManifestChanges(const Manifest& aInForce, const Manifest& aNew);

}
