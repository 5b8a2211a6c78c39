#include "Base/JsonForm.h"

namespace almondspoke {

Result<void>
CheckJsonForm(const std::string& aBody)
{
  int depth = 0;
  std::size_t values = 1;
  bool inString = false;
  for (std::size_t i = 0; i < aBody.size(); ++i) {
    const char character = aBody[i];
    if (inString) {
      i += character == '\\' ? 1 : 0;
      inString = character != '"';
      continue;
    }
    inString = character == '"';
    depth += character == '[' || character == '{' ? 1 : 0;
    depth -= character == ']' || character == '}' ? 1 : 0;
    values += character == ',' || character == '[' || character == '{' ? 1 : 0;
    if (depth > kMaxJsonNesting) {
      return Error(ErrorKind::MalformedRequest,
                   "the body is nested more than " +
                     std::to_string(kMaxJsonNesting) + " levels deep");
    }
    if (values > kMaxJsonValues) {
      return Error(ErrorKind::MalformedRequest,
                   "the body has more than " + std::to_string(kMaxJsonValues) +
                     " values");
    }
  }
  return Success();
}

}
