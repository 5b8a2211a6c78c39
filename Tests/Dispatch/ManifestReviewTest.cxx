#include <catch2/catch.hpp>

#include "Dispatch/ManifestReview.h"

using namespace almondspoke::dispatch;

namespace {

Manifest
ValidManifest()
{
  Manifest manifest;
  manifest.mVersion = 3;
  Queue queue;
  queue.mName = "quotes";
  queue.mHost = "h.example";
  queue.mPathPrefix = "/quotes/";
  queue.mPool = "desk";
  queue.mTimeoutMs = 1500;
  queue.mSlackFactor = 1.6;
  queue.mLatencyTargetMs = 60;
  manifest.mQueues = { queue };
  manifest.mPools = { { "desk", false, 64 } };
  return manifest;
}

}

// Guards against a check that reports sound manifests, which operators would
// learn to ignore.
TEST_CASE("Manifest review: a sound manifest has no finding")
{
  CHECK(FindManifestProblems(ValidManifest()).empty());
  Manifest next = ValidManifest();
  ++next.mVersion;
  CHECK(FindManifestChanges(ValidManifest(), next).empty());
}

TEST_CASE("Manifest review: each problem is found, and named with its entry")
{
  using Kind = ManifestFindingKind;
  struct Row
  {
    void (*mChange)(Manifest&);
    Kind mKind;
    const char* mEntry;
    const char* mText;
  };
  const Row rows[] = {
    { [](Manifest& aNew) { aNew.mQueues[0].mHost.clear(); },
      Kind::Unreachable,
      "queue 'quotes'",
      "host is empty" },
    { [](Manifest& aNew) { aNew.mQueues[0].mPathPrefix = "quotes/"; },
      Kind::Unreachable,
      "queue 'quotes'",
      "does not begin with '/'" },
    { [](Manifest& aNew) { aNew.mQueues[0].mPathPrefix = "/q?x="; },
      Kind::Unreachable,
      "queue 'quotes'",
      "contains '?'" },
    { [](Manifest& aNew) {
       aNew.mPools.push_back({ "spare", false, 64 });
     },
      Kind::Unreachable,
      "pool 'spare'",
      "no queue uses" },
    { [](Manifest& aNew) { aNew.mPools[0].mMaxConnections = 0; },
      Kind::Contradiction,
      "pool 'desk'",
      "0 connections" },
    { [](Manifest& aNew) { aNew.mQueues[0].mMaxAttempts = 0; },
      Kind::Contradiction,
      "queue 'quotes'",
      "0 attempts" },
    { [](Manifest& aNew) { aNew.mQueues[0].mLatencyTargetMs = 1501; },
      Kind::Contradiction,
      "queue 'quotes'",
      "1501 ms is longer than the timeout of 1500 ms" },
    { [](Manifest& aNew) { aNew.mQueues[0].mSlackFactor = 0.99; },
      Kind::Contradiction,
      "queue 'quotes'",
      "shorter than their work" },
    { [](Manifest& aNew) { aNew.mQueues[0].mSlackFactor = -1; },
      Kind::Contradiction,
      "queue 'quotes'",
      "allowed: from 0" },
  };
  for (const Row& row : rows) {
    INFO(row.mText);
    Manifest manifest = ValidManifest();
    row.mChange(manifest);
    const auto findings = FindManifestProblems(manifest);
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].mKind == row.mKind);
    CHECK(findings[0].mEntry == row.mEntry);
    CHECK(findings[0].mText.find(row.mText) != std::string::npos);
  }
}

// Guards against a change that an operator sends without having seen it.
TEST_CASE("Manifest review: each change against the version in force is listed")
{
  const Manifest inForce = ValidManifest();
  Manifest next = ValidManifest();
  next.mVersion = 4;
  next.mQueues[0].mTimeoutMs = 2000;
  next.mQueues[0].mPool = "other";
  next.mPools = { { "other", true, 64 } };
  std::vector<std::string> found;
  for (const ManifestFinding& finding : FindManifestChanges(inForce, next)) {
    CHECK(finding.mKind == ManifestFindingKind::Change);
    found.push_back(finding.mEntry + " " + finding.mText);
  }
  CHECK(found ==
        std::vector<std::string>{ "queue 'quotes' pool: 'desk' to 'other'",
                                  "queue 'quotes' timeout ms: '1500' to '2000'",
                                  "pool 'desk' removed",
                                  "pool 'other' added" });
}

TEST_CASE("Manifest review: a version that is not higher is reported")
{
  const Manifest inForce = ValidManifest();
  const auto findings = FindManifestChanges(inForce, inForce);
  REQUIRE(findings.size() == 1);
  CHECK(findings[0].mKind == ManifestFindingKind::Contradiction);
  CHECK(findings[0].mEntry == "version 3");
}
