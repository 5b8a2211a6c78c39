#include "Controllers/Configuration.h"

#include <utility>

#include "Base/MessagePack.h"
#include "Controllers/RulesTextPacking.h"

namespace almondspoke {

void
SetText(ChangeCommand& aCommand,
        std::string aText,
        const std::optional<RulesText>& aBase)
{
  if (aBase) {
    TextDelta delta = DiffLines(aBase->mText, aText);
    if (SizeOf(delta) < aText.size()) {
      aCommand.mDelta = std::move(delta);
      return;
    }
  }
  aCommand.mText = std::move(aText);
}

std::string
EncodeCommand(const ChangeCommand& aCommand)
{
  return PackMessage(aCommand);
}

Result<ChangeResponse>
DecodeResponse(std::string_view aResponse)
{
  return UnpackMessage<ChangeResponse>(aResponse);
}

std::string
EncodeRulesText(const RulesText& aRules)
{
  return PackMessage(aRules);
}

Result<RulesText>
DecodeRulesText(std::string_view aEncoded)
{
  return UnpackMessage<RulesText>(aEncoded);
}

}
