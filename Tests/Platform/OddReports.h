#pragma once

#include <array>

namespace almondspoke::testing {

/** \brief A change to a good report that makes it describe no usable worker. */
struct OddReport
{
  /** JSON pointer to the field. */
  const char* mField;
  /** New value as JSON; null to remove the field. */
  const char* mValue;
};

/** Each field of a report with each kind of oddity. */
inline constexpr std::array kOddReports = {
  OddReport{ "/address", nullptr },
  OddReport{ "/address", "null" },
  OddReport{ "/address", "8080" },
  OddReport{ "/address", R"("")" },
  OddReport{ "/address", R"("10.128.0.9")" },
  OddReport{ "/address", R"("10.128.0.9:")" },
  OddReport{ "/address", R"("10.128.0.9:0")" },
  OddReport{ "/address", R"("10.128.0.9:99999")" },
  OddReport{ "/address", R"("10.128.0.9:-1")" },
  OddReport{ "/address", R"("10.128.0.9:+80")" },
  OddReport{ "/address", R"("10.128.0.9:80x")" },
  OddReport{ "/address", R"("10.128.0.9:18446744073709551616")" },
  OddReport{ "/address", R"("10.128.0.9\r\nX: y:80")" },
  OddReport{ "/address", R"(" 10.128.0.9:80")" },
  OddReport{ "/address", R"("999.1.1.1:80")" },
  OddReport{ "/address", R"("0.0.0.0:80")" },
  OddReport{ "/address", R"("224.0.0.1:80")" },
  OddReport{ "/address", R"("worker.example:80")" },
  OddReport{ "/address", R"(["10.128.0.9:80"])" },
  OddReport{ "/address", R"({"ip":"10.128.0.9"})" },
  OddReport{ "/born", nullptr },
  OddReport{ "/born", "null" },
  OddReport{ "/born", R"("1700")" },
  OddReport{ "/born", "-1" },
  OddReport{ "/born", "1.5" },
  OddReport{ "/born", "0" },
  OddReport{ "/born", "18446744073709551615" },
  OddReport{ "/born", "99999999999999" },
  OddReport{ "/born", "[1700]" },
  OddReport{ "/service", nullptr },
  OddReport{ "/service", "null" },
  OddReport{ "/service", "7" },
  OddReport{ "/service", R"("")" },
  OddReport{ "/service", R"("a b")" },
  OddReport{ "/service", R"(["s"])" },
  OddReport{ "/state", nullptr },
  OddReport{ "/state", "null" },
  OddReport{ "/state", "1" },
  OddReport{ "/state", R"("")" },
  OddReport{ "/state", R"("READY")" },
  OddReport{ "/state", R"("resting")" },
  OddReport{ "/sequence", nullptr },
  OddReport{ "/sequence", "null" },
  OddReport{ "/sequence", R"("4")" },
  OddReport{ "/sequence", "-4" },
  OddReport{ "/sequence", "4.5" },
  OddReport{ "/sequence", "1e300" },
  OddReport{ "/sequence", "18446744073709551615" },
  OddReport{ "/sequence", "9223372036854775807" },
  OddReport{ "/zone", "null" },
  OddReport{ "/zone", "5" },
  OddReport{ "/zone", "{}" },
  OddReport{ "/cold_remaining_ms", "null" },
  OddReport{ "/cold_remaining_ms", "-1" },
  OddReport{ "/cold_remaining_ms", "1e12" },
  OddReport{ "/cold_remaining_ms", "99999999999" },
  OddReport{ "/clock_ms", "null" },
  OddReport{ "/clock_ms", "-5" },
  OddReport{ "/clock_ms", R"("482113")" },
  OddReport{ "/clock_ms", "18446744073709551615" },
  OddReport{ "/clock_ms", "9223372036854775807" },
  OddReport{ "/labels", "null" },
  OddReport{ "/labels", R"("a")" },
  OddReport{ "/labels", "[1]" },
  OddReport{ "/labels", R"(["a",["b"]])" },
  OddReport{ "/labels", R"([""])" },
  OddReport{ "/labels", R"({"a":1})" },
  OddReport{ "/capacity", nullptr },
  OddReport{ "/capacity", "null" },
  OddReport{ "/capacity", "[]" },
  OddReport{ "/capacity", "{}" },
  OddReport{ "/capacity", "16000" },
  OddReport{ "/capacity/cpu", nullptr },
  OddReport{ "/capacity/cpu", "null" },
  OddReport{ "/capacity/cpu", "-1" },
  OddReport{ "/capacity/cpu", "0" },
  OddReport{ "/capacity/cpu", "0.5" },
  OddReport{ "/capacity/cpu", "4294967296" },
  OddReport{ "/capacity/cpu", "4294967295" },
  OddReport{ "/capacity/cpu", R"("16000")" },
  OddReport{ "/capacity/mem_mb", nullptr },
  OddReport{ "/capacity/mem_mb", "null" },
  OddReport{ "/capacity/mem_mb", "-1" },
  OddReport{ "/capacity/mem_mb", "18446744073709551616" },
  OddReport{ "/capacity/gpus", "null" },
  OddReport{ "/capacity/gpus", "-1" },
  OddReport{ "/capacity/gpus", "4294967295" },
};

/** Ids that do not name a worker. */
inline constexpr std::array kOddIds = { "",     "%00",        "a/b",     "a b",
                                        "../x", "i-1%0d%0aX", "\xff\xfe" };

}
