#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "Base/Clock.h"
#include "Base/EnumNames.h"
#include "Dispatch/WorkerReport.h"

namespace almondspoke::dispatch {

/** \brief Why a report does not describe a worker that can be used. */
enum class ReportDefect : std::uint8_t
{
  None,
  /** A field is missing, has another type, or is out of its type's range. */
  Unreadable,
  Id,
  Pool,
  Address,
  StartTime,
  Capacity,
  Labels,
  Sequence,
  DataCentre,
  Clock,
  /** The manifest in force names no such pool. */
  UnknownPool
};

inline constexpr std::array<EnumName<ReportDefect>, 12> kReportDefectNames = { {
  { ReportDefect::None, "none" },
  { ReportDefect::Unreadable, "unreadable" },
  { ReportDefect::Id, "id" },
  { ReportDefect::Pool, "pool" },
  { ReportDefect::Address, "address" },
  { ReportDefect::StartTime, "start-time" },
  { ReportDefect::Capacity, "capacity" },
  { ReportDefect::Labels, "labels" },
  { ReportDefect::Sequence, "sequence" },
  { ReportDefect::DataCentre, "data-centre" },
  { ReportDefect::Clock, "clock" },
  { ReportDefect::UnknownPool, "unknown-pool" },
} };

inline std::string_view
NameOf(ReportDefect aDefect)
{
  return NameOf(kReportDefectNames, aDefect);
}

/** Returns what is wrong with a report by itself, wherever it comes from: a
 * worker, another instance, or the storage of an earlier version.
 * \param aNow time of day, which bounds the start time */
ReportDefect
FindDefect(const WorkerReport& aReport, Clock::Wall aNow);

}
