#pragma once

#include <cstddef>
#include <exception>
#include <string>
#include <string_view>

#include <msgpack.hpp>

#include "Base/Result.h"

namespace almondspoke {

/** \brief Limits on sizes declared in MessagePack data. Without them, a few
 * bytes that declare a huge array make the library allocate memory for it. */
struct UnpackLimits
{
  /** Maximum number of elements of an array or a map. */
  std::size_t mMembers = 0;
  /** Maximum nesting depth of arrays and maps. */
  std::size_t mDepth = 16;
};

/** Returns limits for the given data. It can hold at most as many elements as
 * bytes, since each element takes at least one byte. */
inline UnpackLimits
LimitsFor(std::string_view aBytes)
{
  UnpackLimits limits;
  limits.mMembers = aBytes.size();
  return limits;
}

/** Unpacks the object at aOffset and advances aOffset past it. Throws
 * msgpack::unpack_error. */
inline msgpack::object_handle
UnpackObject(std::string_view aBytes,
             std::size_t& aOffset,
             const UnpackLimits& aLimits)
{
  const msgpack::unpack_limit limit(aLimits.mMembers,
                                    aLimits.mMembers,
                                    aBytes.size(),
                                    aBytes.size(),
                                    aBytes.size(),
                                    aLimits.mDepth);
  return msgpack::unpack(
    aBytes.data(), aBytes.size(), aOffset, nullptr, nullptr, limit);
}

/** Unpacks the value at aOffset and advances aOffset past it. Throws
 * msgpack::unpack_error and msgpack::type_error. */
template<typename Value>
Value
UnpackValue(std::string_view aBytes,
            std::size_t& aOffset,
            const UnpackLimits& aLimits)
{
  return UnpackObject(aBytes, aOffset, aLimits).get().template as<Value>();
}

/** Packs a message whose type has MSGPACK_DEFINE. */
template<typename Message>
std::string
PackMessage(const Message& aMessage)
{
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, aMessage);
  return { buffer.data(), buffer.size() };
}

/** Unpacks a message whose type has MSGPACK_DEFINE. Returns MalformedRequest if
 * the bytes are not exactly one such message. Limits declared sizes to the
 * length of the input and the nesting to UnpackLimits::mDepth. */
template<typename Message>
Result<Message>
UnpackMessage(std::string_view aBytes)
{
  try {
    std::size_t offset = 0;
    const msgpack::object_handle handle =
      UnpackObject(aBytes, offset, LimitsFor(aBytes));
    if (offset != aBytes.size()) {
      return Error(ErrorKind::MalformedRequest,
                   "trailing bytes after the MessagePack message");
    }
    return handle.get().as<Message>();
  } catch (const std::exception& exception) {
    return Error(ErrorKind::MalformedRequest,
                 std::string("not the expected MessagePack message: ") +
                   exception.what());
  }
}

}
