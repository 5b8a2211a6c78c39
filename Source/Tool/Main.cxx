#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <random>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <unistd.h>

#include "Tool/CurlHttpClient.h"
#include "Tool/SettingsCheck.h"
#include "Tool/Tool.h"
#include "platform/ManifestCodec.h"

using namespace almondspoke;
using namespace almondspoke::tool;

namespace {

std::optional<std::string>
EnvironmentVariable(const std::string& aName)
{
  const char* value = std::getenv(aName.c_str());
  return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

std::string
NewId()
{
  std::random_device device;
  std::uniform_int_distribution<std::uint64_t> numbers;
  const std::uint64_t high = numbers(device);
  const std::uint64_t low = numbers(device);
  return fmt::format("{:016x}{:016x}", high, low);
}

}

int
main(int aCount, char** aArguments)
{
  CurlHttpClient http;
  ToolContext context{ http,
                       std::cin,
                       std::cout,
                       std::cerr,
                       isatty(STDERR_FILENO) != 0,
                       &EnvironmentVariable,
                       &CheckSettingsFile,
                       &NewId,
                       &platform::DecodeManifest };
  return RunTool(context,
                 std::vector<std::string>(aArguments + 1, aArguments + aCount));
}
