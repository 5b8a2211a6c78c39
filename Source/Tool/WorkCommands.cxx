#include <chrono>
#include <ostream>
#include <utility>

#include <nlohmann/json.hpp>

#include "Tool/Command.h"
#include "Tool/HttpCalls.h"
#include "Tool/Output.h"

namespace almondspoke::tool {

namespace {

using Json = nlohmann::ordered_json;
using std::chrono::milliseconds;

/** Member of the answer to `GET /v1/home`. */
constexpr const char* kKeyPrefix = "keyPrefix";

constexpr int kHttpAccepted = 202;

/** Longest time that the instance may hold one request for the job open. */
constexpr milliseconds kPollWait = std::chrono::seconds(5);

/** Time that a response may take beyond the requested wait. */
constexpr milliseconds kAnswerMargin = std::chrono::seconds(10);

constexpr std::uint64_t kDefaultJobWaitMs = 300000;

void
AddField(const CommandLine& aLine,
         const std::string& aOption,
         const std::string& aField,
         HttpRequest& aRequest)
{
  if (const std::optional<std::string> value = aLine.Text(aOption)) {
    aRequest.mFields.push_back({ aField, *value });
  }
}

/** Returns a new key whose home is the data centre of the instance. */
Result<std::string>
NewKey(ToolContext& aContext, const std::string& aUrl)
{
  HttpRequest request;
  request.mUrl = aUrl + "/v1/home";
  BOOST_OUTCOME_TRY(response, SendOrFail(aContext, request));
  const Json body = Json::parse(response.mBody, nullptr, false);
  if (!body.is_object() || !body.contains(kKeyPrefix) ||
      !body[kKeyPrefix].is_string()) {
    return Error(ErrorKind::PeerUnreachable,
                 request.mUrl + ": the response has no " + kKeyPrefix);
  }
  return body[kKeyPrefix].get<std::string>() + aContext.mNewId();
}

/** Prints the state and the results of a job. */
void
PrintJob(ToolContext& aContext,
         const CommandLine& aLine,
         const std::string& aBody)
{
  const Json body = Json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    aContext.mOut << aBody << '\n';
    return;
  }
  if (aLine.IsJson()) {
    PrintJson(aContext.mOut, body);
    return;
  }
  PrintTable(aContext.mOut, { "key", "state" }, Json::array({ body }));
  const auto results = body.find("results");
  if (results != body.end()) {
    PrintTable(aContext.mOut, { "status", "body" }, *results);
  }
}

/** \brief Shows on a terminal how long the tool has waited for a job. */
class ProgressLine
{
public:
  ProgressLine(ToolContext& aContext, const CommandLine& aLine)
    : mErr(aContext.mErr)
    , mIsShown(aContext.mIsTerminal && !aLine.IsJson())
  {
  }
  ProgressLine(const ProgressLine&) = delete;
  ProgressLine& operator=(const ProgressLine&) = delete;
  ~ProgressLine()
  {
    if (mWasShown) {
      mErr << '\n';
    }
  }

  void Show(const std::string& aKey, milliseconds aElapsed)
  {
    if (mIsShown) {
      mWasShown = true;
      mErr << "\rwaiting for " << aKey << ": "
           << aElapsed / std::chrono::seconds(1) << " s" << std::flush;
    }
  }

private:
  std::ostream& mErr;
  bool mIsShown;
  bool mWasShown = false;
};

/** \brief Submits one job and waits until it has an answer or the wait is
 * over. */
class JobSubmission
{
public:
  JobSubmission(ToolContext& aContext,
                const CommandLine& aLine,
                std::string aUrl,
                std::string aKey)
    : mContext(aContext)
    , mProgress(aContext, aLine)
    , mUrl(std::move(aUrl))
    , mKey(std::move(aKey))
  {
  }

  Result<HttpResponse> Run(std::string aBody, milliseconds aWait)
  {
    HttpRequest request;
    request.mMethod = "POST";
    request.mBody = std::move(aBody);
    request.mFields = { { "Content-Type", "application/json" },
                        { "Idempotency-Key", mKey } };
    return WaitFor(std::move(request), aWait);
  }

private:
  // Repeats the request until the job has an answer or the wait is over. The
  // idempotency key ensures that a repeated request does not start a new job.
  Result<HttpResponse> WaitFor(HttpRequest aRequest, milliseconds aWait)
  {
    const auto begin = std::chrono::steady_clock::now();
    while (true) {
      const auto elapsed = std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now() - begin);
      const milliseconds wait =
        std::max(milliseconds(0), std::min(kPollWait, aWait - elapsed));
      aRequest.mUrl = mUrl + "/v1/jobs?wait=" + std::to_string(wait.count());
      aRequest.mTimeout = wait + kAnswerMargin;
      Result<HttpResponse> response = SendOrFail(mContext, aRequest);
      if (!response) {
        return AddKey(response.error());
      }
      const bool isPending = response.value().mStatus == kHttpAccepted;
      if (!isPending || elapsed >= aWait) {
        return response;
      }
      mProgress.Show(mKey, elapsed);
    }
  }

  Error AddKey(const Error& aError) const
  {
    return Error(aError.Kind(),
                 aError.Message() + " (job " + mKey +
                   "; check its state with `almondspoke jobs show " + mKey +
                   "`)");
  }

  ToolContext& mContext;
  ProgressLine mProgress;
  std::string mUrl;
  std::string mKey;
};

Result<void>
SendJobRequest(ToolContext& aContext, CommandLine& aLine, const char* aMethod)
{
  aLine.AddPositional("KEY");
  BOOST_OUTCOME_TRYV(aLine.Parse());
  BOOST_OUTCOME_TRY(url, aLine.CallersUrl());
  BOOST_OUTCOME_TRY(timeout, aLine.Timeout());
  HttpRequest request;
  request.mMethod = aMethod;
  request.mUrl = url + "/v1/jobs/" + EncodeSegment(*aLine.Text("KEY"));
  request.mTimeout = timeout;
  BOOST_OUTCOME_TRY(response, SendOrFail(aContext, request));
  PrintJob(aContext, aLine, response.mBody);
  return Success();
}

}

Result<void>
RunSubmit(ToolContext& aContext, CommandLine& aLine)
{
  aLine.AddPositional("FILE");
  aLine.AddOption("key", "idempotency key; a new one by default");
  aLine.AddOption("wait-ms", "time to wait for the answer, in milliseconds");
  BOOST_OUTCOME_TRYV(aLine.Parse());
  const std::string path = *aLine.Text("FILE");
  BOOST_OUTCOME_TRY(body, ReadInput(aContext, path));
  if (!Json::parse(body, nullptr, false).is_object()) {
    return Error(ErrorKind::InvalidArgument,
                 path + ": not a job (allowed: a JSON object with service and "
                        "tasks)");
  }
  BOOST_OUTCOME_TRY(url, aLine.CallersUrl());
  BOOST_OUTCOME_TRY(wait, aLine.Number("wait-ms"));
  std::string key = aLine.Text("key").value_or("");
  if (key.empty()) {
    BOOST_OUTCOME_TRY(created, NewKey(aContext, url));
    key = created;
  }
  JobSubmission submission(aContext, aLine, url, key);
  BOOST_OUTCOME_TRY(
    response,
    submission.Run(std::move(body),
                   milliseconds(wait.value_or(kDefaultJobWaitMs))));
  PrintJob(aContext, aLine, response.mBody);
  return Success();
}

Result<void>
RunJobsShow(ToolContext& aContext, CommandLine& aLine)
{
  return SendJobRequest(aContext, aLine, "GET");
}

Result<void>
RunJobsCancel(ToolContext& aContext, CommandLine& aLine)
{
  return SendJobRequest(aContext, aLine, "DELETE");
}

Result<void>
RunCall(ToolContext& aContext, CommandLine& aLine)
{
  aLine.AddPositional("SERVICE");
  aLine.AddPositional("PATH");
  aLine.AddOption("data", "file with the body, or - for the standard input");
  aLine.AddOption("key", "idempotency key");
  aLine.AddOption("idempotent", "true or false");
  aLine.AddOption("kind", "kind of work");
  aLine.AddOption("team", "team of the caller");
  aLine.AddOption("urgency", "first, normal or last");
  aLine.AddOption(
    "deadline-ms",
    "time by which the answer is needed, in milliseconds from now");
  BOOST_OUTCOME_TRYV(aLine.Parse());
  BOOST_OUTCOME_TRY(url, aLine.CallersUrl());
  BOOST_OUTCOME_TRY(timeout, aLine.Timeout());
  std::string path = *aLine.Text("PATH");
  path.erase(0, path.find_first_not_of('/'));

  HttpRequest request;
  request.mMethod = "POST";
  request.mUrl =
    url + "/v1/services/" + EncodeSegment(*aLine.Text("SERVICE")) + "/" + path;
  request.mTimeout = timeout;
  AddField(aLine, "key", "Idempotency-Key", request);
  AddField(aLine, "idempotent", "Almondspoke-Idempotent", request);
  AddField(aLine, "kind", "Almondspoke-Kind", request);
  AddField(aLine, "team", "Almondspoke-Team", request);
  AddField(aLine, "urgency", "Almondspoke-Urgency", request);
  AddField(aLine, "deadline-ms", "Almondspoke-Timeout-Ms", request);
  if (const std::optional<std::string> file = aLine.Text("data")) {
    BOOST_OUTCOME_TRY(body, ReadInput(aContext, *file));
    request.mBody = std::move(body);
  }
  BOOST_OUTCOME_TRY(response, SendOrFail(aContext, request));
  if (aLine.IsJson()) {
    PrintJson(
      aContext.mOut,
      Json{ { "status", response.mStatus }, { "body", response.mBody } });
  } else {
    aContext.mOut << response.mBody;
  }
  return Success();
}

}
