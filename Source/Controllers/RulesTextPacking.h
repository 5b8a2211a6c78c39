#pragma once

#include <cstdint>

#include <msgpack.hpp>

#include "Controllers/RulesText.h"

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
  namespace adaptor {

  // Separate from RulesText.h so that the request path, which includes that
  // header, does not include MessagePack.
  template<>
  struct convert<almondspoke::RulesText>
  {
    const msgpack::object& operator()(const msgpack::object& aObject,
                                      almondspoke::RulesText& aValue) const
    {
      constexpr std::uint32_t kFields = 2;
      if (aObject.type != msgpack::type::ARRAY ||
          aObject.via.array.size != kFields) {
        throw msgpack::type_error();
      }
      aObject.via.array.ptr[0].convert(aValue.mVersion);
      aObject.via.array.ptr[1].convert(aValue.mText);
      return aObject;
    }
  };

  template<>
  struct pack<almondspoke::RulesText>
  {
    template<typename Stream>
    msgpack::packer<Stream>& operator()(
      msgpack::packer<Stream>& aPacker,
      const almondspoke::RulesText& aValue) const
    {
      aPacker.pack_array(2);
      aPacker.pack(aValue.mVersion);
      aPacker.pack(aValue.mText);
      return aPacker;
    }
  };

  }
}
}
