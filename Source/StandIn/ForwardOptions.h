#pragma once

#include <chrono>
#include <string>
#include <vector>

#include <asio/ip/tcp.hpp>

#include "Base/Result.h"

namespace almondspoke {

/** \brief One forwarded port: connections to mListen are relayed to mTarget. */
struct ForwardedLink
{
  asio::ip::tcp::endpoint mListen;
  asio::ip::tcp::endpoint mTarget;
};

/** \brief Forwarding options of a stand-in, as given by its flags. */
struct ForwardOptions
{
  std::vector<ForwardedLink> mLinks;
  /** One-way delay added to each chunk of bytes. */
  std::chrono::microseconds mDelay{ 0 };
  /** Share of the open connections, 0 to 1, that stop transferring data on
   * SIGUSR1 but stay open. */
  double mSilencedShare = 1;
};

/** Parses IP:PORT=IP:PORT. Errors: Usage. */
Result<ForwardedLink>
ParseForwardedLink(const std::string& aText);

}
