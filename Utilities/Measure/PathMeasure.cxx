// Measures what the path through an instance adds to a request.
//
// Usage: measure_path INSTANCE[,INSTANCE...] ENDPOINT[,ENDPOINT...]
//                     [CALLERS WORK-MS]
//   INSTANCE, ENDPOINT  addresses, as 127.0.0.1:8080
//   CALLERS, WORK-MS    one case instead of all
//
// Callers are closed loops over kept connections. Each case sends the same
// requests directly to the endpoints, through the instance as idempotent work
// (pooled connections) and as work that is never repeated (fresh ones), in
// turns of one second, so that the load of the machine falls on all alike.
// Several instances are compared in the same turns.

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/strand.hpp>
#include <asio/write.hpp>

namespace {

using Tcp = asio::ip::tcp;
using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t kThreads = 3;
constexpr int kRounds = 5;
constexpr std::chrono::milliseconds kTurn{ 1000 };
constexpr std::chrono::milliseconds kSettle{ 200 };

/** \brief Latencies in microseconds and failures of all callers of a way. */
struct Samples
{
  std::mutex mMutex;
  std::vector<double> mLatencies;
  std::size_t mFailures = 0;
  double mSeconds = 0;

  double Quantile(double aShare)
  {
    if (mLatencies.empty()) {
      return 0;
    }
    std::sort(mLatencies.begin(), mLatencies.end());
    const auto last = static_cast<double>(mLatencies.size() - 1);
    return mLatencies[static_cast<std::size_t>(aShare * last)];
  }

  double Rate() const
  {
    return mSeconds > 0 ? static_cast<double>(mLatencies.size()) / mSeconds : 0;
  }
};

Tcp::endpoint
EndpointOf(const std::string& aAddress)
{
  const std::size_t colon = aAddress.rfind(':');
  return { asio::ip::make_address(aAddress.substr(0, colon)),
           static_cast<unsigned short>(std::stoi(aAddress.substr(colon + 1))) };
}

/** \brief One caller: sends the next request as soon as it has the answer. */
class Caller : public std::enable_shared_from_this<Caller>
{
public:
  Caller(asio::io_context& aContext,
         const std::string& aAddress,
         const std::string& aRequest,
         SteadyClock::time_point aMeasureFrom,
         SteadyClock::time_point aEnd)
    : mSocket(asio::make_strand(aContext))
    , mEndpoint(EndpointOf(aAddress))
    , mRequest(aRequest)
    , mMeasureFrom(aMeasureFrom)
    , mEnd(aEnd)
  {
  }

  void Start()
  {
    mSocket.async_connect(
      mEndpoint, [self = shared_from_this()](const asio::error_code& aError) {
        if (aError) {
          ++self->mFailures;
          return;
        }
        self->mSocket.set_option(Tcp::no_delay(true));
        self->Send();
      });
  }

  void AddTo(Samples& aSamples) const
  {
    const std::lock_guard<std::mutex> lock(aSamples.mMutex);
    aSamples.mLatencies.insert(
      aSamples.mLatencies.end(), mLatencies.begin(), mLatencies.end());
    aSamples.mFailures += mFailures;
  }

private:
  void Send()
  {
    mSentAt = SteadyClock::now();
    if (mSentAt >= mEnd) {
      return;
    }
    asio::async_write(
      mSocket,
      asio::buffer(mRequest),
      [self = shared_from_this()](const asio::error_code& aError, std::size_t) {
        if (aError) {
          ++self->mFailures;
          return;
        }
        self->ReadHeader();
      });
  }

  void ReadHeader()
  {
    asio::async_read_until(
      mSocket,
      asio::dynamic_buffer(mAnswer),
      "\r\n\r\n",
      [self = shared_from_this()](const asio::error_code& aError,
                                  std::size_t aLength) {
        if (aError) {
          ++self->mFailures;
          return;
        }
        self->ReadBody(aLength);
      });
  }

  void ReadBody(std::size_t aHeaderLength)
  {
    static const std::string kLengthField = "\r\nContent-Length: ";
    const std::size_t field = mAnswer.find(kLengthField);
    const std::size_t body =
      field == std::string::npos
        ? 0
        : std::strtoul(
            mAnswer.c_str() + field + kLengthField.size(), nullptr, 10);
    const std::size_t whole = aHeaderLength + body;
    const std::size_t missing =
      whole > mAnswer.size() ? whole - mAnswer.size() : 0;
    asio::async_read(
      mSocket,
      asio::dynamic_buffer(mAnswer),
      asio::transfer_exactly(missing),
      [self = shared_from_this()](const asio::error_code& aError, std::size_t) {
        if (aError) {
          ++self->mFailures;
          return;
        }
        self->Finish();
      });
  }

  void Finish()
  {
    const auto now = SteadyClock::now();
    if (mAnswer.compare(0, 12, "HTTP/1.1 200") != 0) {
      ++mFailures;
    } else if (mSentAt >= mMeasureFrom) {
      const std::chrono::duration<double, std::micro> latency = now - mSentAt;
      mLatencies.push_back(latency.count());
    }
    mAnswer.clear();
    Send();
  }

  Tcp::socket mSocket;
  const Tcp::endpoint mEndpoint;
  const std::string mRequest;
  const SteadyClock::time_point mMeasureFrom;
  const SteadyClock::time_point mEnd;
  SteadyClock::time_point mSentAt;
  std::string mAnswer;
  std::vector<double> mLatencies;
  std::size_t mFailures = 0;
};

/** \brief One way of sending the requests. */
struct Way
{
  std::string mName;
  std::vector<std::string> mAddresses;
  std::string mTarget;
  std::string mFields;
};

void
RunTurn(const Way& aWay, std::size_t aCallers, int aWorkMs, Samples& aSamples)
{
  const std::string request = "POST " + aWay.mTarget +
                              " HTTP/1.1\r\nHost: x\r\n" + aWay.mFields +
                              "Standin-Work-Ms: " + std::to_string(aWorkMs) +
                              "\r\nContent-Length: 4\r\n\r\nwork";
  asio::io_context context;
  const auto start = SteadyClock::now() + kSettle;
  std::vector<std::shared_ptr<Caller>> callers;
  for (std::size_t i = 0; i < aCallers; ++i) {
    callers.push_back(
      std::make_shared<Caller>(context,
                               aWay.mAddresses[i % aWay.mAddresses.size()],
                               request,
                               start,
                               start + kTurn));
    callers.back()->Start();
  }
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < kThreads; ++i) {
    threads.emplace_back([&context] { context.run(); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  for (const auto& caller : callers) {
    caller->AddTo(aSamples);
  }
  aSamples.mSeconds += std::chrono::duration<double>(kTurn).count();
}

void
RunCase(const std::vector<Way>& aWays, std::size_t aCallers, int aWorkMs)
{
  std::vector<Samples> samples(aWays.size());
  for (int round = 0; round < kRounds; ++round) {
    for (std::size_t way = 0; way < aWays.size(); ++way) {
      RunTurn(aWays[way], aCallers, aWorkMs, samples[way]);
    }
  }
  const double direct = samples[0].Quantile(0.5);
  for (std::size_t way = 0; way < aWays.size(); ++way) {
    Samples& taken = samples[way];
    const double median = taken.Quantile(0.5);
    std::cout << std::setw(4) << aWorkMs << " ms " << std::setw(4) << aCallers
              << " callers " << std::setw(7) << aWays[way].mName << std::fixed
              << std::setprecision(0) << std::setw(8) << taken.Rate()
              << " req/s" << std::setprecision(3) << "  median " << std::setw(8)
              << median / 1000 << " ms  p99 " << std::setw(8)
              << taken.Quantile(0.99) / 1000 << " ms  added " << std::setw(7)
              << (median - direct) / 1000 << " ms  ratio "
              << (direct > 0 ? median / direct : 0) << "  failures "
              << taken.mFailures << std::endl;
  }
}

std::vector<std::string>
SplitAtCommas(const std::string& aText)
{
  std::vector<std::string> parts;
  std::istringstream stream(aText);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

}

int
main(int aCount, char** aArguments)
{
  if (aCount != 3 && aCount != 5) {
    std::cerr << "usage: measure_path INSTANCE[,INSTANCE...] "
                 "ENDPOINT[,ENDPOINT...] [CALLERS WORK-MS]\n";
    return 2;
  }
  std::vector<Way> ways{ { "direct", SplitAtCommas(aArguments[2]), "/x", "" } };
  for (const std::string& instance : SplitAtCommas(aArguments[1])) {
    ways.push_back({ "pooled",
                     { instance },
                     "/v1/services/echo/x",
                     "Almondspoke-Idempotent: true\r\n" });
    ways.push_back({ "fresh", { instance }, "/v1/services/echo/x", "" });
  }
  if (aCount == 5) {
    RunCase(
      ways, std::strtoul(aArguments[3], nullptr, 10), std::atoi(aArguments[4]));
    return 0;
  }
  for (const int work : { 0, 5, 50 }) {
    for (const std::size_t callers : { 1, 64, 512 }) {
      RunCase(ways, callers, work);
    }
  }
  return 0;
}
