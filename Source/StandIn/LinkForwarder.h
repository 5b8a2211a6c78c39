#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "Base/Result.h"

namespace almondspoke {

/** \brief Simulated network conditions of a forwarded link. The fields may be
 * changed at any time from any thread. */
struct LinkConditions
{
  /** One-way delay added to each chunk of bytes, in microseconds. */
  std::atomic<std::int64_t> mDelayMicroseconds{ 0 };
  /** Pauses the bytes sent by the connecting side while true. */
  std::atomic<bool> mCutForward{ false };
  /** Pauses the bytes sent to the connecting side while true. */
  std::atomic<bool> mCutBackward{ false };
  /** Incremented to silence open connections: those opened before the last
   * increment stay open but never transfer data again. */
  std::atomic<std::uint64_t> mSilencedGeneration{ 0 };
  /** Share of these connections that is silenced, 0 to 1. */
  std::atomic<double> mSilencedShare{ 1 };
};

/** \brief Forwards TCP connections from one address to another under given
 * conditions. Simulates a link between instances or data centres in tests and
 * experiments. */
class LinkForwarder
{
public:
  LinkForwarder(asio::io_context& aContext,
                asio::ip::tcp::endpoint aListen,
                asio::ip::tcp::endpoint aTarget,
                std::shared_ptr<LinkConditions> aConditions);

  /** Binds the listening address and starts accepting connections. Errors:
   * InvalidSettings if the address cannot be bound. */
  Result<void> Start();
  void Stop();

private:
  void Accept();
  /** Returns the value that is compared with mSilencedShare for the next
   * connection, 0 to 1. */
  double NextSilenceThreshold();

  asio::io_context& mContext;
  asio::ip::tcp::endpoint mListen;
  asio::ip::tcp::endpoint mTarget;
  std::shared_ptr<LinkConditions> mConditions;
  asio::ip::tcp::acceptor mAcceptor;
  std::uint64_t mConnections = 0;
};

}
