#include "Consensus/ConsensusMessage.h"

#include <array>
#include <cstddef>

#include "Base/MessagePack.h"

namespace almondspoke {

namespace {

constexpr std::uint32_t kFieldCount = 16;

Error
Malformed(const std::string& aWhy)
{
  return { ErrorKind::MalformedRequest, "consensus message: " + aWhy };
}

/** Reads the fields of the outer array in order. */
class FieldReader
{
public:
  explicit FieldReader(const msgpack::object_array& aArray)
    : mArray(aArray)
  {
  }

  template<typename T>
  void Read(T& aField)
  {
    mArray.ptr[mNext++].convert(aField);
  }

private:
  const msgpack::object_array& mArray;
  std::uint32_t mNext = 0;
};

void
ReadFields(FieldReader aReader, ConsensusMessage& aMessage)
{
  std::uint8_t kind = 0;
  aReader.Read(kind);
  if (kind >= kMessageKindCount) {
    throw msgpack::type_error();
  }
  aMessage.mKind = static_cast<MessageKind>(kind);
  aReader.Read(aMessage.mIncarnation);
  aReader.Read(aMessage.mTargetIncarnation);
  aReader.Read(aMessage.mBootstrapId);
  aReader.Read(aMessage.mTerm);
  aReader.Read(aMessage.mLogTerm);
  aReader.Read(aMessage.mIndex);
  aReader.Read(aMessage.mCommitIndex);
  aReader.Read(aMessage.mFlag);
  aReader.Read(aMessage.mSecondFlag);
  aReader.Read(aMessage.mContext);
  aReader.Read(aMessage.mTotal);
  aReader.Read(aMessage.mEntries);
  aReader.Read(aMessage.mAcknowledgements);
  aReader.Read(aMessage.mData);
  aReader.Read(aMessage.mConfiguration);
}

}

std::string
EncodeMessage(const ConsensusMessage& aMessage)
{
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(kFieldCount);
  packer.pack(static_cast<std::uint8_t>(aMessage.mKind));
  packer.pack(aMessage.mIncarnation);
  packer.pack(aMessage.mTargetIncarnation);
  packer.pack(aMessage.mBootstrapId);
  packer.pack(aMessage.mTerm);
  packer.pack(aMessage.mLogTerm);
  packer.pack(aMessage.mIndex);
  packer.pack(aMessage.mCommitIndex);
  packer.pack(aMessage.mFlag);
  packer.pack(aMessage.mSecondFlag);
  packer.pack(aMessage.mContext);
  packer.pack(aMessage.mTotal);
  packer.pack(aMessage.mEntries);
  packer.pack(aMessage.mAcknowledgements);
  packer.pack(aMessage.mData);
  packer.pack(aMessage.mConfiguration);
  return { buffer.data(), buffer.size() };
}

Result<ConsensusMessage>
DecodeMessage(std::string_view aBytes)
{
  try {
    std::size_t offset = 0;
    const msgpack::object_handle handle =
      UnpackObject(aBytes, offset, LimitsFor(aBytes));
    const msgpack::object& object = handle.get();
    if (object.type != msgpack::type::ARRAY ||
        object.via.array.size != kFieldCount) {
      return Malformed("not an array of 16 fields");
    }
    ConsensusMessage message;
    ReadFields(FieldReader(object.via.array), message);
    for (const LogEntry& entry : message.mEntries) {
      if (entry.mKind > EntryKind::Configuration) {
        return Malformed("unknown log entry kind");
      }
    }
    return message;
  } catch (const msgpack::size_overflow&) {
    return Malformed("declares more elements than its bytes can hold");
  } catch (const msgpack::unpack_error&) {
    return Malformed("not MessagePack");
  } catch (const msgpack::type_error&) {
    return Malformed("a field has the wrong type");
  }
}

}
