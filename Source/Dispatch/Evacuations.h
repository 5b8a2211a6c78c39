#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include <msgpack.hpp>

namespace almondspoke::dispatch {

/** Names of data centres. */
using DataCentreNames = std::set<std::string>;

/** \brief An operator's request to evacuate or to readmit a data centre. */
struct EvacuationRecord
{
  std::string mDataCentre;
  /** True to evacuate the data centre, false to readmit it. */
  bool mIsEvacuated = false;
  /** Highest revision that the coordinator knew when it proposed the record. */
  std::uint64_t mKnownRevision = 0;

  MSGPACK_DEFINE(mDataCentre, mIsEvacuated, mKnownRevision)
};

/** \brief Effect of an EvacuationRecord. */
enum class EvacuationEffect : std::uint8_t
{
  /** The data centre has changed its state. */
  Changed,
  /** The data centre was in the requested state before. */
  Unchanged,
  /** No change, since the data centre has changed after the known revision. */
  Outdated,
  /** No change, since too many data centres are evacuated. */
  Full
};

/** \brief The data centres that operators have evacuated; part of the
 * replicated state.
 *
 * Each change has a revision. A record whose coordinator did not know the
 * latest change of the data centre has no effect, so that a delayed copy of an
 * earlier request cannot undo a later one. */
class Evacuations
{
public:
  /** Number of data centres of which the latest change is kept. Bounds what
   * requests with many names cost. */
  static constexpr std::size_t kMaxChanges = 256;

  EvacuationEffect Apply(const EvacuationRecord& aRecord);

  bool IsEvacuated(const std::string& aDataCentre) const;
  /** Returns whether the data centre has been evacuated or readmitted. */
  bool IsMentioned(const std::string& aDataCentre) const;
  /** Returns the names of the evacuated data centres. */
  DataCentreNames Evacuated() const;
  std::uint64_t Revision() const { return mRevision; }

  struct Change
  {
    bool mIsEvacuated = false;
    std::uint64_t mRevision = 0;

    MSGPACK_DEFINE(mIsEvacuated, mRevision)
  };

  MSGPACK_DEFINE(mRevision, mRemovedRevision, mChanges)

private:
  /** Returns the revision of the latest change of a data centre. */
  std::uint64_t RevisionOf(const std::string& aDataCentre) const;
  /** Removes the oldest change that readmitted a data centre. Returns false if
   * there is none. */
  bool RemoveReadmitted();

  /** Number of changes so far. */
  std::uint64_t mRevision = 0;
  /** Highest revision of the changes that were removed. */
  std::uint64_t mRemovedRevision = 0;
  /** Latest change of each data centre. */
  std::map<std::string, Change> mChanges;
};

}
