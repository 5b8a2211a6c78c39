#include "Dispatch/ManifestReview.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <set>
#include <sstream>
#include <utility>

namespace almondspoke::dispatch {

namespace {

using Findings = std::vector<ManifestFinding>;

std::string
EntryOf(const Queue& aQueue)
{
  return "queue '" + aQueue.mName + "'";
}

std::string
EntryOf(const Pool& aPool)
{
  return "pool '" + aPool.mName + "'";
}

void
Add(Findings& aFindings,
    ManifestFindingKind aKind,
    std::string aEntry,
    std::string aText)
{
  aFindings.push_back({ aKind, std::move(aEntry), std::move(aText) });
}

template<typename Value>
std::string
TextOf(const Value& aValue)
{
  std::ostringstream text;
  text << std::boolalpha << aValue;
  return text.str();
}

void
FindUnreachablePaths(const Queue& aQueue, Findings& aFindings)
{
  const auto add = [&](const std::string& aText) {
    Add(aFindings, ManifestFindingKind::Unreachable, EntryOf(aQueue), aText);
  };
  if (aQueue.mHost.empty()) {
    add("the host is empty, and every request names one");
  }
  if (aQueue.mPathPrefix.empty() || aQueue.mPathPrefix.front() != '/') {
    add("the path prefix '" + aQueue.mPathPrefix +
        "' does not begin with '/', as every path does");
  }
  if (aQueue.mPathPrefix.find_first_of("?# ") != std::string::npos) {
    add("the path prefix '" + aQueue.mPathPrefix +
        "' contains '?', '#' or a space, which no path contains");
  }
}

void
FindContradictions(const Queue& aQueue, Findings& aFindings)
{
  const auto add = [&](const std::string& aText) {
    Add(aFindings, ManifestFindingKind::Contradiction, EntryOf(aQueue), aText);
  };
  if (aQueue.mMaxAttempts == 0) {
    add("0 attempts are allowed, so that a job fails with its first failed "
        "run as with 1 (allowed: from 1)");
  }
  if (aQueue.mLatencyTargetMs > aQueue.mTimeoutMs) {
    add("the latency target of " + TextOf(aQueue.mLatencyTargetMs) +
        " ms is longer than the timeout of " + TextOf(aQueue.mTimeoutMs) +
        " ms");
  }
  const bool isFactor =
    std::isfinite(aQueue.mSlackFactor) && aQueue.mSlackFactor >= 0;
  if (!isFactor) {
    add("the slack factor is " + TextOf(aQueue.mSlackFactor) +
        " (allowed: from 0)");
  } else if (aQueue.mSlackFactor < 1) {
    add("the slack factor of " + TextOf(aQueue.mSlackFactor) +
        " makes the objective of long jobs shorter than their work");
  }
}

void
FindPoolProblems(const Manifest& aManifest, Findings& aFindings)
{
  std::set<std::string_view> used;
  for (const Queue& queue : aManifest.mQueues) {
    used.insert(queue.mPool);
  }
  for (const Pool& pool : aManifest.mPools) {
    if (used.count(pool.mName) == 0) {
      Add(aFindings,
          ManifestFindingKind::Unreachable,
          EntryOf(pool),
          "no queue uses the pool, so that its workers get no work");
    } else if (pool.mMaxConnections == 0) {
      Add(aFindings,
          ManifestFindingKind::Contradiction,
          EntryOf(pool),
          "0 connections to each worker, but queues use the pool (allowed: "
          "from 1)");
    }
  }
}

/** \brief A property that is compared, with its name in the report. */
template<typename Entry>
struct ComparedProperty
{
  const char* mName;
  std::string (*mText)(const Entry&);
};

const std::vector<ComparedProperty<Queue>> kQueueProperties = {
  { "host", [](const Queue& aQueue) { return aQueue.mHost; } },
  { "path prefix", [](const Queue& aQueue) { return aQueue.mPathPrefix; } },
  { "pool", [](const Queue& aQueue) { return aQueue.mPool; } },
  { "priority", [](const Queue& aQueue) { return TextOf(aQueue.mPriority); } },
  { "attempts",
    [](const Queue& aQueue) { return TextOf(aQueue.mMaxAttempts); } },
  { "timeout ms",
    [](const Queue& aQueue) { return TextOf(aQueue.mTimeoutMs); } },
  { "slack factor",
    [](const Queue& aQueue) { return TextOf(aQueue.mSlackFactor); } },
  { "latency target ms",
    [](const Queue& aQueue) { return TextOf(aQueue.mLatencyTargetMs); } },
};

const std::vector<ComparedProperty<Pool>> kPoolProperties = {
  { "enforces capacity",
    [](const Pool& aPool) { return TextOf(aPool.mEnforcesCapacity); } },
  { "connections",
    [](const Pool& aPool) { return TextOf(aPool.mMaxConnections); } },
};

template<typename Entry>
std::map<std::string, const Entry*>
ByName(const std::vector<Entry>& aEntries)
{
  std::map<std::string, const Entry*> byName;
  for (const Entry& entry : aEntries) {
    byName.emplace(entry.mName, &entry);
  }
  return byName;
}

template<typename Entry>
void
Compare(const std::vector<Entry>& aInForce,
        const std::vector<Entry>& aNew,
        const std::vector<ComparedProperty<Entry>>& aProperties,
        Findings& aFindings)
{
  const auto inForce = ByName(aInForce);
  const auto added = ByName(aNew);
  for (const auto& [name, entry] : inForce) {
    if (added.count(name) == 0) {
      Add(aFindings, ManifestFindingKind::Change, EntryOf(*entry), "removed");
    }
  }
  for (const auto& [name, entry] : added) {
    const auto former = inForce.find(name);
    if (former == inForce.end()) {
      Add(aFindings, ManifestFindingKind::Change, EntryOf(*entry), "added");
      continue;
    }
    for (const ComparedProperty<Entry>& property : aProperties) {
      const std::string before = property.mText(*former->second);
      const std::string after = property.mText(*entry);
      if (before != after) {
        std::string text = property.mName;
        text.append(": '").append(before).append("' to '").append(after);
        text += '\'';
        Add(aFindings,
            ManifestFindingKind::Change,
            EntryOf(*entry),
            std::move(text));
      }
    }
  }
}

}

std::vector<ManifestFinding>
FindManifestProblems(const Manifest& aManifest)
{
  Findings findings;
  for (const Queue& queue : aManifest.mQueues) {
    FindUnreachablePaths(queue, findings);
    FindContradictions(queue, findings);
  }
  FindPoolProblems(aManifest, findings);
  return findings;
}

std::vector<ManifestFinding>
FindManifestChanges(const Manifest& aInForce, const Manifest& aNew)
{
  Findings findings;
  if (aNew.mVersion <= aInForce.mVersion) {
    Add(findings,
        ManifestFindingKind::Contradiction,
        "version " + TextOf(aNew.mVersion),
        "not higher than version " + TextOf(aInForce.mVersion) +
          ", which is in force, so that it changes nothing");
  }
  Compare(aInForce.mQueues, aNew.mQueues, kQueueProperties, findings);
  Compare(aInForce.mPools, aNew.mPools, kPoolProperties, findings);
  return findings;
}

}
