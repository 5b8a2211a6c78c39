#include <filesystem>
#include <fstream>
#include <string>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include "Daemon/SettingValues.h"
#include "Daemon/Settings.h"

using namespace almondspoke;

namespace {

const std::string kMinimal = "[instance]\n"
                             "name = zagreb-1\n"
                             "data-centre = zagreb\n"
                             "[listen]\n"
                             "callers = 127.0.0.1:8080\n"
                             "[endpoints]\n"
                             "allowed-networks = 127.0.0.0/8, 10.0.0.0/8\n";

/** \brief Lines added to the minimal settings, and the expected error message.
 */
struct FaultCase
{
  std::string mLines;
  std::string mMessage;
};

const std::vector<FaultCase> kFaults = {
  { "[limits]\nbodyy = 1KiB\n",
    "a.ini:9: unknown key 'bodyy' in [limits] (allowed: header, body, "
    "response, connections, pipelined-requests, queued-requests, "
    "held-bodies, unfinished-requests, decisions, idle-timeout, "
    "request-timeout)" },
  { "[limit]\nbody = 1KiB\n",
    "a.ini:9: unknown section [limit] (allowed: drain, endpoints, groups, "
    "instance, instances, limits, listen, log, routing, submissions)" },
  { "[limits]\nbody = 16\n",
    "a.ini:9: body: '16' is not allowed (allowed: 1KiB to 1GiB; units B, "
    "KiB, MiB, GiB)" },
  { "[limits]\nbody = 16s\n",
    "a.ini:9: body: '16s' is not allowed (allowed: 1KiB to 1GiB; units B, "
    "KiB, MiB, GiB)" },
  { "[limits]\nbody = 2GiB\n",
    "a.ini:9: body: '2GiB' is not allowed (allowed: 1KiB to 1GiB; units B, "
    "KiB, MiB, GiB)" },
  { "[limits]\nbody = 99999999999999999999GiB\n",
    "a.ini:9: body: '99999999999999999999GiB' is not allowed (allowed: 1KiB "
    "to 1GiB; units B, KiB, MiB, GiB)" },
  { "[drain]\nbalancer-delay = 5\n",
    "a.ini:9: balancer-delay: '5' is not allowed (allowed: 0ms to 1h; units "
    "ms, s, m, h)" },
  { "[drain]\nbalancer-delay = -5s\n",
    "a.ini:9: balancer-delay: '-5s' is not allowed (allowed: 0ms to 1h; "
    "units ms, s, m, h)" },
  { "[routing]\nspill = no\n",
    "a.ini:9: spill: 'no' is not allowed (allowed: on, off)" },
  { "[routing]\nstrategy = fastest\n",
    "a.ini:9: strategy: 'fastest' is not allowed (allowed: least-loaded, "
    "fifo, round-robin, random, power-of-two)" },
  { "[limits]\nconnections = many\n",
    "a.ini:9: connections: 'many' is not allowed (allowed: 1 to 1000000)" },
  { "[listen]\noperators = localhost:80\n",
    "a.ini:9: operators: 'localhost:80' is not allowed (allowed: IP address "
    "and port, e.g. 127.0.0.1:8080)" },
  { "[listen]\noperators = 127.0.0.1:70000\n",
    "a.ini:9: operators: '127.0.0.1:70000' is not allowed (allowed: IP "
    "address and port, e.g. 127.0.0.1:8080)" },
  { "[listen]\ncallers = 127.0.0.1:1\n",
    "a.ini:9: key 'callers' is duplicated" },
  { "[instance]\ndata-folder = /no/such/folder\n",
    "a.ini:9: data-folder: '/no/such/folder' is not allowed (allowed: an "
    "existing, writable folder)" },
  { "[endpoints]\nmax-endpoints = 0\n",
    "a.ini:9: max-endpoints: '0' is not allowed (allowed: 1 to 1000000)" },
  { "[instances]\nzagreb-1 = zagreb 127.0.0.1:1\n",
    "a.ini:9: zagreb-1: 'zagreb 127.0.0.1:1' is not allowed (allowed: "
    "DATA-CENTRE PEERS-IP:PORT CALLERS-IP:PORT [disk])" },
  { "[instances]\nother = zagreb 127.0.0.1:1 127.0.0.1:2\n",
    "a.ini: instance 'zagreb-1' is missing in [instances]" },
  { "[instances]\nzagreb-1 = riga 127.0.0.1:1 127.0.0.1:2\n",
    "a.ini:9: data centre 'riga' differs from data-centre in [instance]" },
  { "[instances]\nzagreb-1 = zagreb 127.0.0.1:1 127.0.0.1:2 disk\n",
    "a.ini:9: an instance with a disk needs data-folder in [instance]" },
  { "[groups]\nconfiguration = zagreb-1\n",
    "a.ini:9: voter 'zagreb-1' is not allowed (allowed: instances of "
    "[instances] with a disk)" },
  { "[groups]\nother = zagreb-1\n",
    "a.ini:9: unknown group 'other' (allowed: configuration, "
    "submissions-DATA-CENTRE)" },
  { "no equals sign\n", "a.ini:8: not a section, a comment or `key = value`" },
};

}

TEST_CASE("Settings: an error names the file, the line and the allowed values")
{
  for (const FaultCase& fault : kFaults) {
    INFO(fault.mLines);
    const auto settings = ParseSettings("a.ini", kMinimal + fault.mLines);
    REQUIRE(settings.has_error());
    CHECK(settings.error().Message() == fault.mMessage);
    CHECK(settings.error().Kind() == ErrorKind::InvalidSettings);
    CHECK(settings.error().Traits().mExitCode == 2);
  }
}

TEST_CASE("Settings: an error names a missing required key")
{
  const auto settings = ParseSettings("a.ini", "[instance]\nname = a\n");
  REQUIRE(settings.has_error());
  CHECK(settings.error().Message() ==
        "a.ini: key 'data-centre' is missing in [instance]");
  CHECK(LoadSettings("/no/such/file.ini").has_error());
}

TEST_CASE("Settings: values, lists and defaults")
{
  const std::string folder = std::filesystem::temp_directory_path();
  const auto result =
    ParseSettings("a.ini",
                  "[instances]\n"
                  "zagreb-1 = zagreb 127.0.0.1:9001 127.0.0.1:8080 disk\n"
                  "riga-1 = riga 127.0.0.1:9002 127.0.0.1:8081\n"
                  "[groups]\n"
                  "configuration = zagreb-1\n" +
                    kMinimal + "peers = 127.0.0.1:9001\n");
  REQUIRE(result.has_error());

  const auto valid =
    ParseSettings("a.ini",
                  kMinimal + "[instance]\ndata-folder = " + folder +
                    "\n[instances]\n"
                    "zagreb-1 = zagreb 127.0.0.1:9001   127.0.0.1:8080 disk\n"
                    "riga-1 = riga 127.0.0.1:9002 [::1]:8081\n"
                    "[groups]\nconfiguration = zagreb-1\n"
                    "[limits]\nbody = 1MiB\n[drain]\nbalancer-delay = 250ms\n"
                    "timeout = 2m\n");
  REQUIRE(valid.has_value());
  const Settings& settings = valid.value();
  CHECK(settings.mName == "zagreb-1");
  CHECK(settings.mCallers.ToString() == "127.0.0.1:8080");
  CHECK(settings.mInstances.size() == 2);
  CHECK(settings.mInstances[0].mHasDisk);
  CHECK(settings.mInstances[1].mCallers.ToString() == "[::1]:8081");
  CHECK(settings.mGroups[0].mVoters == std::vector<std::string>{ "zagreb-1" });
  CHECK(settings.mMaxBodyBytes == 1048576);
  CHECK(settings.mBalancerDelay == std::chrono::milliseconds(250));
  CHECK(settings.mDrainTimeout == std::chrono::minutes(2));
  CHECK(settings.mMaxHeaderBytes == 32768);
  CHECK(settings.mAllowedNetworks[1].Contains("10.255.0.1"));
  CHECK_FALSE(settings.mAllowedNetworks[1].Contains("11.0.0.1"));
  CHECK_FALSE(settings.mAllowedNetworks[1].Contains("::1"));
}

TEST_CASE("Settings: an error names a port in use and its line")
{
  asio::io_context context;
  asio::ip::tcp::acceptor taken(context,
                                { asio::ip::address_v4::loopback(), 0 });
  const std::string address =
    "127.0.0.1:" + std::to_string(taken.local_endpoint().port());
  auto settings =
    ParseSettings("a.ini", kMinimal + "[listen]\npeers = " + address + '\n')
      .value();
  settings.mCallers.mPort = 0;
  const auto checked = CheckListenAddresses(settings);
  REQUIRE(checked.has_error());
  CHECK(checked.error().Message().find("a.ini:9: cannot listen on " +
                                       address) == 0);
  taken.close();
  CHECK(CheckListenAddresses(settings).has_value());
}

TEST_CASE("Setting values: durations, sizes and addresses")
{
  CHECK(ParseDuration("250ms") == std::chrono::milliseconds(250));
  CHECK(ParseDuration("2m") == std::chrono::minutes(2));
  CHECK(ParseDuration("1h") == std::chrono::hours(1));
  for (const char* text : { "",
                            "5",
                            "s",
                            "5 s",
                            "-5s",
                            "+5s",
                            "1.5s",
                            "5S",
                            "5ss",
                            "9223372036854775807h",
                            "18446744073709551616ms" }) {
    INFO(text);
    CHECK_FALSE(ParseDuration(text));
  }
  CHECK(ParseSize("64KiB") == 65536);
  for (const char* text : { "", "64", "64KB", "64kib", "0x1B", "KiB" }) {
    INFO(text);
    CHECK_FALSE(ParseSize(text));
  }
  CHECK(ParseSocketAddress("[::1]:80")->mHost == "::1");
  for (const char* text : { "",
                            ":80",
                            "127.0.0.1",
                            "127.0.0.1:",
                            "::1:80",
                            "[127.0.0.1]:80",
                            "127.0.0.1:-1",
                            "a:80",
                            "127.0.0.1:65536",
                            "127.0.0.1:80x" }) {
    INFO(text);
    CHECK_FALSE(ParseSocketAddress(text));
  }
  CHECK(FormatDuration(std::chrono::milliseconds(1500)) == "1500ms");
  CHECK(FormatDuration(std::chrono::seconds(120)) == "2m");
  CHECK(FormatSize(16777216) == "16MiB");
}
