#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "Base/Error.h"

namespace almondspoke {

/** \brief One header field; its name is case-insensitive. */
struct HttpField
{
  std::string mName;
  std::string mValue;
};

using HttpFields = std::vector<HttpField>;

/** \brief A request as received, independent of the HTTP library. */
struct HttpRequest
{
  std::string mMethod;
  /** Path and query, still percent-encoded. */
  std::string mTarget;
  HttpFields mFields;
  std::string mBody;
};

/** \brief A complete response. */
struct HttpResponse
{
  int mStatus = 200;
  HttpFields mFields;
  std::string mBody;
};

/** Returns the value of the first field with this name, or nullptr. */
const std::string*
FindField(const HttpFields& aFields, std::string_view aName);

/** Sets a field and replaces all existing fields with the same name. */
void
SetField(HttpFields& aFields, std::string_view aName, std::string aValue);

/** Removes all fields with this name. */
void
RemoveField(HttpFields& aFields, std::string_view aName);

/** Removes the hop-by-hop fields (RFC 9110, 7.6.1), the fields that are listed
 * in Connection, and the framing fields, which the HTTP library writes itself.
 */
void
RemoveHopByHopFields(HttpFields& aFields);

/** True if both names are equal apart from the case of ASCII letters. */
bool
EqualFieldNames(std::string_view aLeft, std::string_view aRight);

/** Returns the part of a request target before the query. */
std::string_view
PathOf(std::string_view aTarget);

/** Returns the value of a query parameter, still percent-encoded; empty if
 * there is none. */
std::string_view
QueryParameter(std::string_view aTarget, std::string_view aName);

/** Returns the standard reason phrase of a status. */
std::string_view
ReasonPhrase(int aStatus);

/** Builds the response for an error: status, JSON body and Retry-After. */
HttpResponse
ErrorResponse(const Error& aError);

/** Builds a response with a JSON body. */
HttpResponse
JsonResponse(int aStatus, std::string aBody);

}
