// Measures what heartbeats of endpoints cost a running instance: processor
// time, memory and bytes, by the number of endpoints that each announce once a
// second. Usage: measure_announce CALLERS_ADDRESS PROCESS_ID

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <curl/curl.h>
#include <unistd.h>

#include "LinearFit.h"

using namespace almondspoke::measure;

namespace {

constexpr int kSeconds = 5;
constexpr int kProcessorFields = 13;

/** \brief What a process has used so far. */
struct ProcessUse
{
  double mProcessorSeconds = 0;
  double mResidentBytes = 0;
};

ProcessUse
UseOf(const std::string& aProcess)
{
  std::ifstream stat("/proc/" + aProcess + "/stat");
  std::string text;
  std::getline(stat, text);
  // Fields after the closing bracket of the name; user and system time are the
  // 12th and 13th of them.
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string field;
  double ticks = 0;
  for (int i = 1; i <= kProcessorFields && fields >> field; ++i) {
    if (i >= kProcessorFields - 1) {
      ticks += std::strtod(field.c_str(), nullptr);
    }
  }
  std::ifstream statm("/proc/" + aProcess + "/statm");
  double total = 0;
  double resident = 0;
  statm >> total >> resident;
  return { ticks / static_cast<double>(::sysconf(_SC_CLK_TCK)),
           resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) };
}

std::size_t
Discard(char* /*aData*/, std::size_t aSize, std::size_t aCount, void* /*aUser*/)
{
  return aSize * aCount;
}

/** \brief Announces endpoints over one kept-alive connection. */
class Announcer
{
public:
  explicit Announcer(std::string aAddress)
    : mAddress(std::move(aAddress))
    , mHandle(curl_easy_init())
  {
    curl_easy_setopt(mHandle, CURLOPT_CUSTOMREQUEST, "PUT");
    curl_easy_setopt(mHandle, CURLOPT_WRITEFUNCTION, Discard);
  }
  Announcer(const Announcer&) = delete;
  Announcer& operator=(const Announcer&) = delete;
  ~Announcer() { curl_easy_cleanup(mHandle); }

  /** Returns the bytes of request and answer; ends the program on a failure. */
  double Announce(int aNumber)
  {
    const std::string url =
      "http://" + mAddress + "/v1/endpoints/worker-" + std::to_string(aNumber);
    const std::string body =
      "{\"service\":\"preview\",\"address\":\"127.0.0.1:" +
      std::to_string(1024 + aNumber) +
      "\",\"slots\":8,\"connections\":64,\"cores\":32,"
      "\"memoryBytes\":137438953472,\"rack\":\"rack-" +
      std::to_string(aNumber / 6) + "\",\"ttlMs\":3000,\"incarnation\":1}";
    curl_easy_setopt(mHandle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(mHandle, CURLOPT_POSTFIELDS, body.c_str());
    const CURLcode code = curl_easy_perform(mHandle);
    long status = 0;
    curl_easy_getinfo(mHandle, CURLINFO_RESPONSE_CODE, &status);
    if (code != CURLE_OK || status >= 300) {
      std::fprintf(stderr,
                   "announcement failed: %s, status %ld\n",
                   curl_easy_strerror(code),
                   status);
      std::exit(1);
    }
    long request = 0;
    long header = 0;
    curl_off_t answer = 0;
    curl_easy_getinfo(mHandle, CURLINFO_REQUEST_SIZE, &request);
    curl_easy_getinfo(mHandle, CURLINFO_HEADER_SIZE, &header);
    curl_easy_getinfo(mHandle, CURLINFO_SIZE_DOWNLOAD_T, &answer);
    return static_cast<double>(request) + static_cast<double>(body.size()) +
           static_cast<double>(header) + static_cast<double>(answer);
  }

private:
  std::string mAddress;
  CURL* mHandle;
};

}

int
main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    std::fprintf(stderr,
                 "usage: measure_announce CALLERS_ADDRESS PROCESS_ID\n");
    return 2;
  }
  Announcer announcer(aArguments[1]);
  const std::string process = aArguments[2];
  std::vector<Point> processor;
  std::vector<Point> memory;
  std::vector<Point> bytes;
  for (const int endpoints : { 10, 100, 400, 1600 }) {
    const ProcessUse before = UseOf(process);
    double sent = 0;
    const auto start = std::chrono::steady_clock::now();
    for (int beat = 0; beat < kSeconds * endpoints; ++beat) {
      std::this_thread::sleep_until(start +
                                    std::chrono::seconds(1) * beat / endpoints);
      sent += announcer.Announce(beat % endpoints);
    }
    std::this_thread::sleep_until(start + std::chrono::seconds(kSeconds));
    const ProcessUse after = UseOf(process);
    const double quantity = endpoints;
    processor.push_back(
      { quantity,
        (after.mProcessorSeconds - before.mProcessorSeconds) / kSeconds });
    memory.push_back({ quantity, after.mResidentBytes });
    bytes.push_back({ quantity, sent / kSeconds });
  }
  PrintSeriesHead();
  const std::string by = "heartbeats/s";
  PrintSeries("instance processor", by, "cores", processor);
  PrintSeries("instance resident memory", by, "B", memory);
  PrintSeries("heartbeats and answers, without TCP", by, "B/s", bytes);
  return 0;
}
