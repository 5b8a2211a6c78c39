#include <algorithm>
#include <ostream>

#include <nlohmann/json.hpp>

#include "Dispatch/ManifestReview.h"
#include "Tool/Command.h"
#include "Tool/Output.h"

namespace almondspoke::tool {

namespace {

using Json = nlohmann::ordered_json;
using dispatch::Manifest;
using dispatch::ManifestFinding;
using dispatch::ManifestFindingKind;

Result<Manifest>
LoadManifest(ToolContext& aContext, const std::string& aPath)
{
  BOOST_OUTCOME_TRY(text, ReadInput(aContext, aPath));
  Result<Manifest> manifest = aContext.mDecodeManifest(text);
  if (!manifest) {
    return Error(manifest.error().Kind(),
                 aPath + ": " + manifest.error().Message());
  }
  return manifest;
}

Json
RowsOf(const std::vector<ManifestFinding>& aFindings)
{
  Json rows = Json::array();
  for (const ManifestFinding& finding : aFindings) {
    rows.push_back(Json{ { "kind", std::string(NameOf(finding.mKind)) },
                         { "entry", finding.mEntry },
                         { "text", finding.mText } });
  }
  return rows;
}

void
Print(ToolContext& aContext,
      const CommandLine& aLine,
      const std::string& aPath,
      const std::vector<ManifestFinding>& aFindings)
{
  const Json rows = RowsOf(aFindings);
  if (aLine.IsJson()) {
    PrintJson(aContext.mOut, Json{ { "file", aPath }, { "findings", rows } });
  } else if (aFindings.empty()) {
    aContext.mOut << aPath << ": no findings\n";
  } else {
    PrintTable(aContext.mOut, { "kind", "entry", "text" }, rows);
  }
}

}

Result<void>
RunManifestCheck(ToolContext& aContext, CommandLine& aLine)
{
  aLine.AddPositional("FILE");
  aLine.AddOption("in-force", "file with the manifest in force");
  BOOST_OUTCOME_TRYV(aLine.Parse());
  const std::string path = *aLine.Text("FILE");
  BOOST_OUTCOME_TRY(manifest, LoadManifest(aContext, path));
  std::vector<ManifestFinding> findings = FindManifestProblems(manifest);
  if (const std::optional<std::string> inForcePath = aLine.Text("in-force")) {
    BOOST_OUTCOME_TRY(inForce, LoadManifest(aContext, *inForcePath));
    const auto changes = FindManifestChanges(inForce, manifest);
    findings.insert(findings.end(), changes.begin(), changes.end());
  }
  Print(aContext, aLine, path, findings);
  const auto problems = std::count_if(
    findings.begin(), findings.end(), [](const ManifestFinding& aFinding) {
      return aFinding.mKind != ManifestFindingKind::Change;
    });
  if (problems > 0) {
    return Error(ErrorKind::InvalidArgument,
                 path + ": " + std::to_string(problems) +
                   " problems (allowed: none)");
  }
  return Success();
}

}
