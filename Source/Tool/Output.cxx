#include "Tool/Output.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

#include <nlohmann/json.hpp>

namespace almondspoke::tool {

namespace {

constexpr std::size_t kColumnGap = 2;

std::string
CellText(const nlohmann::ordered_json& aRow, const std::string& aMember)
{
  const auto found = aRow.find(aMember);
  if (found == aRow.end()) {
    return "-";
  }
  std::string text =
    found->is_string() ? found->get<std::string>() : found->dump();
  return text.empty() ? "-" : text;
}

void
PrintRow(std::ostream& aOut,
         const std::vector<std::string>& aCells,
         const std::vector<std::size_t>& aWidths)
{
  for (std::size_t index = 0; index + 1 < aCells.size(); ++index) {
    aOut << std::left
         << std::setw(static_cast<int>(aWidths[index] + kColumnGap))
         << aCells[index];
  }
  aOut << aCells.back() << '\n';
}

}

void
PrintJson(std::ostream& aOut, const nlohmann::ordered_json& aValue)
{
  constexpr int kIndent = 2;
  aOut << aValue.dump(kIndent,
                      ' ',
                      false,
                      nlohmann::ordered_json::error_handler_t::replace)
       << '\n';
}

void
PrintTable(std::ostream& aOut,
           const std::vector<std::string>& aMembers,
           const nlohmann::ordered_json& aRows)
{
  std::vector<std::vector<std::string>> lines = { aMembers };
  for (const auto& row : aRows) {
    std::vector<std::string> cells;
    cells.reserve(aMembers.size());
    for (const std::string& member : aMembers) {
      cells.push_back(CellText(row, member));
    }
    lines.push_back(std::move(cells));
  }
  std::vector<std::size_t> widths(aMembers.size(), 0);
  for (const auto& line : lines) {
    for (std::size_t index = 0; index < line.size(); ++index) {
      widths[index] = std::max(widths[index], line[index].size());
    }
  }
  for (const auto& line : lines) {
    PrintRow(aOut, line, widths);
  }
}

Result<std::string>
ReadInput(ToolContext& aContext, const std::string& aPath)
{
  std::ostringstream text;
  if (aPath == "-") {
    text << aContext.mIn.rdbuf();
    return text.str();
  }
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return Error(ErrorKind::InvalidArgument,
                 aPath + ": cannot be read: " + std::strerror(errno) +
                   " (allowed: a file, or - for the standard input)");
  }
  if (file.peek() != std::ifstream::traits_type::eof()) {
    text << file.rdbuf();
  }
  return text.str();
}

}
