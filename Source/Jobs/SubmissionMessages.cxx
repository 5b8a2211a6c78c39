#include "Jobs/SubmissionMessages.h"

#include <array>
#include <exception>
#include <utility>

#include <msgpack.hpp>

#include "Jobs/SubmissionPacking.h"

namespace almondspoke {

namespace {

enum class CommandTag : char
{
  RegisterExecutor = 1,
  Claim = 2,
  RecordAnswer = 3,
  ReleaseClaim = 4,
  ExecutorLost = 5,
  AdvanceClock = 6
};

template<typename Command>
std::string
PackTagged(CommandTag aTag, const Command& aCommand)
{
  detail::StringBuffer buffer;
  buffer.mBytes.push_back(static_cast<char>(aTag));
  msgpack::pack(buffer, aCommand);
  return std::move(buffer.mBytes);
}

template<typename Command>
std::string
DecodeAndVisit(std::string_view aBytes, SubmissionCommandVisitor& aVisitor)
{
  return aVisitor.Visit(detail::UnpackBounded<Command>(aBytes));
}

struct CommandDecoder
{
  CommandTag mTag;
  std::string (*mDecode)(std::string_view, SubmissionCommandVisitor&);
};

constexpr std::array<CommandDecoder, 6> kDecoders = { {
  { CommandTag::RegisterExecutor, DecodeAndVisit<RegisterExecutorCommand> },
  { CommandTag::Claim, DecodeAndVisit<ClaimCommand> },
  { CommandTag::RecordAnswer, DecodeAndVisit<RecordAnswerCommand> },
  { CommandTag::ReleaseClaim, DecodeAndVisit<ReleaseClaimCommand> },
  { CommandTag::ExecutorLost, DecodeAndVisit<ExecutorLostCommand> },
  { CommandTag::AdvanceClock, DecodeAndVisit<AdvanceClockCommand> },
} };

std::string
MalformedResponse()
{
  ClaimResponse response;
  response.mOutcome = ClaimOutcome::Malformed;
  return Encode(response);
}

template<typename Response>
Result<Response>
DecodeResponse(std::string_view aBytes)
{
  try {
    return detail::UnpackBounded<Response>(aBytes);
  } catch (const std::exception& error) {
    return Error(ErrorKind::Internal,
                 std::string("malformed submission response: ") + error.what());
  }
}

}

std::string
Encode(const RegisterExecutorCommand& aCommand)
{
  return PackTagged(CommandTag::RegisterExecutor, aCommand);
}

std::string
Encode(const ClaimCommand& aCommand)
{
  return PackTagged(CommandTag::Claim, aCommand);
}

std::string
Encode(const RecordAnswerCommand& aCommand)
{
  return PackTagged(CommandTag::RecordAnswer, aCommand);
}

std::string
Encode(const ReleaseClaimCommand& aCommand)
{
  return PackTagged(CommandTag::ReleaseClaim, aCommand);
}

std::string
Encode(const ExecutorLostCommand& aCommand)
{
  return PackTagged(CommandTag::ExecutorLost, aCommand);
}

std::string
Encode(const AdvanceClockCommand& aCommand)
{
  return PackTagged(CommandTag::AdvanceClock, aCommand);
}

std::string
Encode(const ClaimResponse& aResponse)
{
  return PackMessage(aResponse);
}

std::string
Encode(const RegisterExecutorResponse& aResponse)
{
  return PackMessage(aResponse);
}

Result<ClaimResponse>
DecodeClaimResponse(std::string_view aBytes)
{
  return DecodeResponse<ClaimResponse>(aBytes);
}

Result<RegisterExecutorResponse>
DecodeRegisterExecutorResponse(std::string_view aBytes)
{
  return DecodeResponse<RegisterExecutorResponse>(aBytes);
}

std::string
DecodeCommand(std::string_view aBytes, SubmissionCommandVisitor& aVisitor)
{
  if (aBytes.empty()) {
    return MalformedResponse();
  }
  for (const CommandDecoder& decoder : kDecoders) {
    if (static_cast<char>(decoder.mTag) != aBytes.front()) {
      continue;
    }
    try {
      return decoder.mDecode(aBytes.substr(1), aVisitor);
    } catch (const msgpack::type_error&) {
      return MalformedResponse();
    } catch (const msgpack::unpack_error&) {
      return MalformedResponse();
    }
  }
  return MalformedResponse();
}

}
