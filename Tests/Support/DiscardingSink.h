#pragma once

#include <cstddef>
#include <string_view>

#include "Base/EventLog.h"

namespace almondspoke::testing {

/** \brief Log sink that takes all bytes and keeps none. */
class DiscardingSink : public LogSink
{
public:
  std::size_t Write(std::string_view aBytes) override { return aBytes.size(); }
};

}
