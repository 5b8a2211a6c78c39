#pragma once

#include <string>

#include "Base/Result.h"
#include "Tool/HttpClient.h"
#include "Tool/ToolContext.h"

namespace almondspoke::tool {

/** Sends a request. Errors: as HttpClient::Send(), and the error in a response
 * that is not a success. */
Result<HttpResponse>
SendOrFail(ToolContext& aContext, const HttpRequest& aRequest);

/** Percent-encodes text as one segment of a URL path. */
std::string
EncodeSegment(const std::string& aText);

}
