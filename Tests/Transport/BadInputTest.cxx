#include <string>

#include <catch2/catch.hpp>

#include "Support/EchoServer.h"
#include "Support/Eventually.h"
#include "Support/TestConnection.h"

using namespace almondspoke;
using almondspoke::testing::EchoServer;
using almondspoke::testing::Eventually;
using almondspoke::testing::TestConnection;

namespace {

constexpr std::size_t kMaxHeaderBytes = EchoServer::kMaxHeaderBytes;
constexpr std::size_t kMaxBodyBytes = EchoServer::kMaxBodyBytes;

struct BadInput
{
  std::string mName;
  std::string mBytes;
  std::string mStatus;
  std::string mKind;
};

std::string
Post(const std::string& aFields, const std::string& aBody)
{
  return "POST /x HTTP/1.1\r\nHost: a\r\n" + aFields + "\r\n" + aBody;
}

std::string
ManyFields(int aCount)
{
  std::string fields;
  for (int i = 0; i < aCount; ++i) {
    fields += "X-" + std::to_string(i) + ": 1\r\n";
  }
  return fields;
}

const std::vector<BadInput> kBadInputs = {
  { "no HTTP at all", "hello\r\n\r\n", "400", "malformed-request" },
  { "unknown method", "FETCH / HTTP/1.1\r\n\r\n", "400", "malformed-request" },
  { "binary bytes",
    std::string("\x00\x01\xff\xfe\r\n\r\n", 8),
    "400",
    "malformed-request" },
  { "version that is no number",
    "GET / HTTP/x.y\r\n\r\n",
    "400",
    "malformed-request" },
  { "no version", "GET /x\r\n\r\n", "400", "malformed-request" },
  { "version before 1.0",
    "GET /x HTTP/0.9\r\n\r\n",
    "400",
    "malformed-request" },
  { "version after 1.1",
    "GET /x HTTP/2.0\r\n\r\n",
    "400",
    "malformed-request" },
  { "no Host", "GET /x HTTP/1.1\r\n\r\n", "400", "malformed-request" },
  { "no Host in a later minor version",
    "GET /x HTTP/1.2\r\n\r\n",
    "400",
    "malformed-request" },
  { "no Host, with a body",
    "POST /x HTTP/1.1\r\nContent-Length: 2\r\n\r\nok",
    "400",
    "malformed-request" },
  { "two Host fields", Post("Host: b\r\n", ""), "400", "malformed-request" },
  { "two equal Host fields",
    Post("hOST: a\r\n", ""),
    "400",
    "malformed-request" },
  { "two Host fields in HTTP/1.0",
    "GET /x HTTP/1.0\r\nHost: a\r\nHost: b\r\n\r\n",
    "400",
    "malformed-request" },
  { "header without colon",
    Post("no colon here\r\n", ""),
    "400",
    "malformed-request" },
  { "length that is no number",
    Post("Content-Length: abc\r\n", ""),
    "400",
    "malformed-request" },
  { "negative length",
    Post("Content-Length: -5\r\n", ""),
    "400",
    "malformed-request" },
  { "length beyond 64 bits",
    Post("Content-Length: 99999999999999999999999\r\n", ""),
    "400",
    "malformed-request" },
  { "two lengths",
    Post("Content-Length: 1\r\nContent-Length: 2\r\n", "ab"),
    "400",
    "malformed-request" },
  { "length and chunks",
    Post("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
    "400",
    "malformed-request" },
  { "chunk size that is no number",
    Post("Transfer-Encoding: chunked\r\n", "zz\r\nab\r\n"),
    "400",
    "malformed-request" },
  { "target beyond the limit",
    "GET /" + std::string(kMaxHeaderBytes, 'a') + " HTTP/1.1\r\n\r\n",
    "431",
    "header-too-large" },
  { "value beyond the limit",
    Post("X: " + std::string(kMaxHeaderBytes + 1, 'v') + "\r\n", ""),
    "431",
    "header-too-large" },
  { "name beyond the limit",
    Post(std::string(kMaxHeaderBytes + 1, 'n') + ": v\r\n", ""),
    "431",
    "header-too-large" },
  { "too many fields", Post(ManyFields(200), ""), "431", "header-too-large" },
  { "key of 10 KB",
    Post("Idempotency-Key: " + std::string(10240, 'k') + "\r\n", ""),
    "431",
    "header-too-large" },
  { "declared body beyond the limit",
    Post("Content-Length: 65537\r\n", ""),
    "413",
    "body-too-large" },
  { "sent body beyond the limit",
    Post("Content-Length: 1000000\r\n", std::string(1000000, 'b')),
    "413",
    "body-too-large" },
  { "chunked body beyond the limit",
    Post("Transfer-Encoding: chunked\r\n",
         "186a0\r\n" + std::string(100000, 'b') + "\r\n0\r\n\r\n"),
    "413",
    "body-too-large" },
};

}

TEST_CASE("Bad input: each gets its named error, and the server goes on")
{
  EchoServer server;
  for (const BadInput& input : kBadInputs) {
    INFO(input.mName);
    TestConnection connection(server.Port());
    connection.Send(input.mBytes);
    const std::string answer = connection.ReadAll();
    CHECK(answer.substr(0, 13) == "HTTP/1.1 " + input.mStatus + ' ');
    CHECK(answer.find("\"kind\":\"" + input.mKind + '"') != std::string::npos);
    CHECK(answer.find("\"ran\":\"no\"") != std::string::npos);
    CHECK(answer.find("onnection: close") != std::string::npos);

    TestConnection next(server.Port());
    next.Send(Post("Content-Length: 2\r\n", "ok"));
    CHECK(next.ReadResponse().find("ok") != std::string::npos);
  }
  CHECK(server.Server().RejectedRequests() == kBadInputs.size());
}

TEST_CASE("Bad input: behind a valid request it does not take its answer")
{
  EchoServer server;
  TestConnection connection(server.Port());
  connection.Send(Post("Content-Length: 5\r\n", "first"));
  const std::string first = connection.ReadResponse();
  CHECK(first.find("HTTP/1.1 200") == 0);
  // The answer is outstanding until the server's write has completed.
  REQUIRE(
    Eventually([&] { return server.Server().OutstandingRequests() == 0; }));
  connection.Send("nonsense\r\n\r\n");
  CHECK(connection.ReadAll().find("malformed-request") != std::string::npos);
}

TEST_CASE("Bad input: a body of exactly the limit is accepted")
{
  EchoServer server;
  TestConnection connection(server.Port());
  const std::string body(kMaxBodyBytes, 'b');
  connection.Send(Post("Content-Length: 65536\r\n", body));
  const std::string answer = connection.ReadResponse();
  CHECK(answer.find("HTTP/1.1 200") == 0);
  CHECK(answer.substr(answer.size() - body.size()) == body);
}
