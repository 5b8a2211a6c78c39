#pragma once

#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "Bench/BenchRun.h"

namespace almondspoke::bench {

/** Returns all figures of a run. */
nlohmann::ordered_json
ReportJson(const RunResult& aResult);

/** Returns one object of display texts for each stream, under SummaryColumns().
 */
nlohmann::ordered_json
SummaryRows(const RunResult& aResult);

/** Returns the columns of the summary, in order. */
const std::vector<std::string>&
SummaryColumns();

/** Returns notes on the whole run, one per line of the report. */
std::vector<std::string>
SummaryNotes(const RunResult& aResult);

/** Returns the summary as a Markdown table with the notes below. */
std::string
SummaryMarkdown(const RunResult& aResult);

}
