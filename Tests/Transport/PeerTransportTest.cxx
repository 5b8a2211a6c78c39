#include <future>
#include <memory>
#include <mutex>
#include <thread>

#include <asio/connect.hpp>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "Base/Clock.h"
#include "StandIn/LinkForwarder.h"
#include "Support/Eventually.h"
#include "Support/ReservedPorts.h"
#include "Transport/AsioPeerTransport.h"
#include "Transport/PeerFrameCodec.h"
#include "Transport/PeerRpcService.h"

using namespace almondspoke;
using almondspoke::testing::Eventually;
using almondspoke::testing::ReservePorts;

namespace {

asio::ip::tcp::endpoint
Loopback(std::uint16_t aPort)
{
  return { asio::ip::address_v4::loopback(), aPort };
}

std::uint16_t
FreePort()
{
  return static_cast<std::uint16_t>(ReservePorts(1).front());
}

/** An instance's transport and RPC service, run by its own thread. */
class Node
{
public:
  Node(const InstanceName& aName,
       std::uint16_t aPort,
       const std::vector<PeerAddress>& aPeers)
    : mWork(asio::make_work_guard(mContext))
    , mTransport(mContext, { aName, "zagreb", 1 }, Loopback(aPort), aPeers)
    , mRpc(mContext, mClock, mTransport, { aName, "zagreb", 1 })
  {
    REQUIRE(mTransport.Listen().has_value());
    mRpc.Register(
      "echo",
      [](const InstanceName& aFrom,
         const std::string& aRequest,
         const PeerRpc::Done& aDone) { aDone(aFrom + ":" + aRequest); });
    mRpc.Register(
      "refuse",
      [](const InstanceName&, const std::string&, const PeerRpc::Done& aDone) {
        aDone(Error(
          ErrorKind::QuotaExceeded, "too much", std::chrono::milliseconds(70)));
      });
    mRpc.Register(
      "silent",
      [](const InstanceName&, const std::string&, const PeerRpc::Done&) {});
    mTransport.Start();
    mRpc.Start();
    mThread = std::thread([this] { mContext.run(); });
  }

  ~Node()
  {
    mTransport.Stop();
    mRpc.Stop();
    mWork.reset();
    mContext.stop();
    mThread.join();
  }

  Result<std::string> Call(const InstanceName& aTo,
                           const std::string& aMethod,
                           const std::string& aRequest,
                           std::chrono::milliseconds aTimeout)
  {
    std::promise<Result<std::string>> answer;
    mRpc.Call(aTo, aMethod, aRequest, aTimeout, [&](Result<std::string> aDone) {
      answer.set_value(std::move(aDone));
    });
    return answer.get_future().get();
  }

  SystemClock mClock;
  asio::io_context mContext;
  asio::executor_work_guard<asio::io_context::executor_type> mWork;
  AsioPeerTransport mTransport;
  PeerRpcService mRpc;
  std::thread mThread;
};

constexpr std::chrono::seconds kLongTimeout{ 60 };

/** An instance's transport that echoes frames on the Membership channel and
 * records frames on the Endpoints channel. */
class AnsweringNode
{
public:
  AnsweringNode(std::uint16_t aPort, const std::vector<PeerAddress>& aPeers)
    : mWork(asio::make_work_guard(mContext))
    , mTransport(mContext, { "a", "zagreb", 1 }, Loopback(aPort), aPeers)
  {
    REQUIRE(mTransport.Listen().has_value());
    mTransport.Subscribe(
      PeerChannel::Membership,
      [this](const InstanceName& aFrom, const PeerFrame& aFrame) {
        PeerFrame answer = aFrame;
        answer.mIsAnswer = true;
        mTransport.Send(aFrom, answer);
      });
    mTransport.Subscribe(
      PeerChannel::Endpoints,
      [this](const InstanceName& aFrom, const PeerFrame& aFrame) {
        const std::lock_guard<std::mutex> lock(mMutex);
        mReceived.push_back(aFrom + ":" + aFrame.mPayload);
      });
    mTransport.Start();
    mThread = std::thread([this] { mContext.run(); });
  }

  ~AnsweringNode()
  {
    mTransport.Stop();
    mWork.reset();
    mContext.stop();
    mThread.join();
  }

  std::vector<std::string> Received()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mReceived;
  }

  asio::io_context mContext;
  asio::executor_work_guard<asio::io_context::executor_type> mWork;
  AsioPeerTransport mTransport;
  std::mutex mMutex;
  std::vector<std::string> mReceived;
  std::thread mThread;
};

std::string
Framed(PeerChannel aChannel, const std::string& aPayload)
{
  return EncodePeerFrame({ aChannel, 0, aPayload });
}

}

TEST_CASE("PeerRpc: answers, refusals and losses reach the caller by kind")
{
  const std::uint16_t portA = FreePort();
  const std::uint16_t portB = FreePort();
  const std::vector<PeerAddress> peers = { { "a", Loopback(portA) },
                                           { "b", Loopback(portB) } };
  Node a("a", portA, peers);
  auto b = std::make_unique<Node>("b", portB, peers);
  REQUIRE(Eventually([&] {
    return a.mTransport.IsConnected("b") && b->mTransport.IsConnected("a");
  }));

  const std::string large(3UL * 1024UL * 1024UL, '\xee');
  CHECK(a.Call("b", "echo", "hello", kLongTimeout).value() == "a:hello");
  CHECK(a.Call("b", "echo", large, kLongTimeout).value() == "a:" + large);
  CHECK(a.Call("a", "echo", "self", kLongTimeout).value() == "a:self");

  const auto refused = a.Call("b", "refuse", "", kLongTimeout);
  REQUIRE(refused.has_error());
  CHECK(refused.error().Kind() == ErrorKind::QuotaExceeded);
  CHECK(refused.error().RetryAfter() == std::chrono::milliseconds(70));

  CHECK(a.Call("b", "no such", "", kLongTimeout).error().Kind() ==
        ErrorKind::NotFound);
  CHECK(
    a.Call("b", "silent", "", std::chrono::milliseconds(50)).error().Kind() ==
    ErrorKind::PeerTimeout);

  std::promise<Result<std::string>> cutOff;
  a.mRpc.Call("b", "silent", "", kLongTimeout, [&](Result<std::string> aDone) {
    cutOff.set_value(std::move(aDone));
  });
  b.reset();
  CHECK(cutOff.get_future().get().error().Kind() == ErrorKind::PeerTimeout);
  REQUIRE(Eventually([&] { return !a.mTransport.IsConnected("b"); }));
  CHECK(a.Call("b", "echo", "", kLongTimeout).error().Kind() ==
        ErrorKind::PeerUnreachable);

  b = std::make_unique<Node>("b", portB, peers);
  REQUIRE(Eventually([&] {
    return a.mTransport.IsConnected("b") && b->mTransport.IsConnected("a");
  }));
  // The new connection may still have reached the old listener's backlog.
  CHECK(Eventually(
    [&] { return a.Call("b", "echo", "again", kLongTimeout).has_value(); }));
}

TEST_CASE("PeerTransport: a connection that goes silent is replaced")
{
  const std::uint16_t portA = FreePort();
  const std::uint16_t portB = FreePort();
  const std::uint16_t portLink = FreePort();
  asio::io_context linkContext;
  const auto conditions = std::make_shared<LinkConditions>();
  LinkForwarder link(
    linkContext, Loopback(portLink), Loopback(portB), conditions);
  REQUIRE(link.Start().has_value());
  std::thread linkThread([&linkContext] { linkContext.run(); });
  {
    Node a("a", portA, { { "b", Loopback(portLink) } });
    Node b("b", portB, { { "a", Loopback(portA) } });
    REQUIRE(Eventually([&] {
      return a.mTransport.IsConnected("b") && b.mTransport.IsConnected("a");
    }));
    CHECK(a.Call("b", "echo", "before", kLongTimeout).value() == "a:before");

    // The first connection may already have been reset, if the link was up
    // before its far end.
    const std::uint64_t before = a.mTransport.Traffic().mReconnects;
    ++conditions->mSilencedGeneration;
    CHECK(Eventually([&] {
      return a.mTransport.Traffic().mReconnects > before &&
             a.mTransport.IsConnected("b");
    }));
    CHECK(a.Call("b", "echo", "after", kLongTimeout).value() == "a:after");
  }
  linkContext.stop();
  linkThread.join();
}

TEST_CASE("PeerTransport: a silent connection is replaced sooner in use")
{
  const std::uint16_t portA = FreePort();
  const std::uint16_t portB = FreePort();
  const std::uint16_t portC = FreePort();
  const std::uint16_t linkB = FreePort();
  const std::uint16_t linkC = FreePort();
  asio::io_context linkContext;
  const auto conditions = std::make_shared<LinkConditions>();
  LinkForwarder toB(linkContext, Loopback(linkB), Loopback(portB), conditions);
  LinkForwarder toC(linkContext, Loopback(linkC), Loopback(portC), conditions);
  REQUIRE(toB.Start().has_value());
  REQUIRE(toC.Start().has_value());
  std::thread linkThread([&linkContext] { linkContext.run(); });
  {
    Node a("a", portA, { { "b", Loopback(linkB) }, { "c", Loopback(linkC) } });
    Node b("b", portB, { { "a", Loopback(portA) } });
    Node c("c", portC, { { "a", Loopback(portA) } });
    for (const InstanceName peer : { "b", "c" }) {
      REQUIRE(Eventually([&] { return a.mTransport.IsConnected(peer); }));
      REQUIRE(Eventually([&] {
        return a.Call(peer, "echo", "before", kLongTimeout).has_value();
      }));
    }
    const std::uint64_t used = a.mTransport.ConnectionNumber("b");
    const std::uint64_t idle = a.mTransport.ConnectionNumber("c");
    ++conditions->mSilencedGeneration;
    CHECK_FALSE(a.Call("b", "echo", "lost", std::chrono::milliseconds(50)));
    CHECK(
      Eventually([&] { return a.mTransport.ConnectionNumber("b") > used; }));
    CHECK(a.mTransport.ConnectionNumber("c") == idle);
    CHECK(
      Eventually([&] { return a.mTransport.ConnectionNumber("c") > idle; }));
  }
  linkContext.stop();
  linkThread.join();
}

TEST_CASE("PeerTransport: signs of life come after frames, and seldom else")
{
  const std::uint16_t port = FreePort();
  Node node("a", port, { { "b", Loopback(1) }, { "c", Loopback(1) } });
  asio::io_context context;
  asio::ip::tcp::socket earlier(context);
  asio::ip::tcp::socket quiet(context);
  const auto open = [port](asio::ip::tcp::socket& aSocket,
                           const PeerHello& aHello) {
    aSocket.connect(Loopback(port));
    asio::write(aSocket, asio::buffer(EncodePeerHello(aHello)));
  };
  const auto readLivenessBytes = [](asio::ip::tcp::socket& aSocket) {
    std::array<char, kPeerLengthBytes> bytes{};
    asio::read(aSocket, asio::buffer(bytes));
    return DecodePeerLength(bytes).value() == 0;
  };
  open(earlier, { kPeerProtocolVersion, { "b", "riga", 1 }, true });
  open(quiet, { kPeerProtocolVersion, { "c", "riga", 1 }, true, true });
  CHECK(readLivenessBytes(quiet));
  // An instance without mSupportsIdleInterval gets liveness bytes every second.
  for (int second = 0; second < 4; ++second) {
    CHECK(readLivenessBytes(earlier));
  }
  CHECK(quiet.available() == 0);
  // A partial frame also causes liveness bytes, until the frame is complete.
  const std::string frame = Framed(PeerChannel::Endpoints, "large");
  asio::write(quiet, asio::buffer(frame.substr(0, kPeerLengthBytes)));
  const std::size_t before = earlier.available();
  CHECK(readLivenessBytes(quiet));
  CHECK(readLivenessBytes(quiet));
  // As often as on the other connection, however long this thread was delayed.
  const std::size_t more = quiet.available() / kPeerLengthBytes;
  const std::size_t other = (earlier.available() - before) / kPeerLengthBytes;
  CHECK(other <= 2 * (2 + more));
}

TEST_CASE(
  "PeerTransport: bytes that are no hello and unknown names are refused")
{
  const std::uint16_t port = FreePort();
  Node node("a", port, { { "a", Loopback(port) }, { "b", Loopback(1) } });
  const std::string frame = EncodePeerFrame({ PeerChannel::Rpc, 0, "x" });
  const std::vector<std::string> openings = {
    "GET / HTTP/1.1\r\n\r\n",
    std::string(4, '\xff'),
    frame,
    EncodePeerHello({ kPeerProtocolVersion, { "stranger", "zagreb", 1 } }) +
      frame,
    EncodePeerHello({ 99, { "b", "zagreb", 1 } }) + frame,
  };
  for (const std::string& opening : openings) {
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect(Loopback(port));
    asio::write(socket, asio::buffer(opening));
    asio::error_code error;
    // Fails if the connection has already been closed by the other end.
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    char byte = 0;
    socket.read_some(asio::buffer(&byte, 1), error);
    CHECK(error);
  }
  CHECK(node.mTransport.Traffic().mFramesReceived == 0);
}

TEST_CASE("PeerTransport: a port in use is one clear error")
{
  asio::io_context context;
  asio::ip::tcp::acceptor taken(context, Loopback(0));
  const std::uint16_t port = taken.local_endpoint().port();
  AsioPeerTransport transport(
    context, { "a", "zagreb", 1 }, Loopback(port), {});
  const auto result = transport.Listen();
  REQUIRE(result.has_error());
  CHECK(result.error().Kind() == ErrorKind::InvalidSettings);
  CHECK(result.error().Message().find(std::to_string(port)) !=
        std::string::npos);
}

TEST_CASE("PeerTransport: an answer goes back on its question's connection")
{
  // The hello can be delayed in transit. Liveness bytes that are sent before it
  // arrives would misalign the frames that follow.
  const auto delay =
    GENERATE(kPeerLivenessPeriod * 0, kPeerLivenessPeriod * 5 / 2);
  const std::uint16_t port = FreePort();
  AnsweringNode node(port, { { "b", Loopback(1) } });
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.connect(Loopback(port));
  std::this_thread::sleep_for(delay);
  const std::string question = Framed(PeerChannel::Membership, "question");
  const std::vector<std::string> openings = {
    EncodePeerHello({ kPeerProtocolVersion, { "b", "riga", 1 }, true }),
    question,
    question,
  };
  for (const std::string& opening : openings) {
    asio::write(socket, asio::buffer(opening));
  }
  // Empty frames may come before or between the two answers.
  constexpr int kMostFrames = 60;
  int answers = 0;
  for (int frame = 0; frame < kMostFrames && answers < 2; ++frame) {
    std::array<char, kPeerLengthBytes> bytes{};
    asio::read(socket, asio::buffer(bytes));
    const std::size_t length = DecodePeerLength(bytes).value();
    REQUIRE(length <= question.size());
    std::string body(length, '\0');
    asio::read(socket, asio::buffer(body));
    if (!body.empty()) {
      REQUIRE(DecodePeerFrame(body).value().mPayload == "question");
      ++answers;
    }
  }
  CHECK(answers == 2);
  CHECK(node.mTransport.Traffic().mFramesDropped == 0);
}

TEST_CASE("PeerTransport: a connection without a hello is closed")
{
  const std::uint16_t port = FreePort();
  AnsweringNode node(port, { { "b", Loopback(1) } });
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.connect(Loopback(port));
  char byte = 0;
  asio::error_code error;
  socket.read_some(asio::buffer(&byte, 1), error);
  CHECK(error == asio::error::eof);
}

TEST_CASE("PeerTransport: one that takes no answers gets single bytes only")
{
  const std::uint16_t port = FreePort();
  AnsweringNode node(port, { { "b", Loopback(1) } });
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.connect(Loopback(port));
  asio::write(
    socket,
    asio::buffer(EncodePeerHello({ kPeerProtocolVersion, { "b", "riga", 1 } }) +
                 Framed(PeerChannel::Membership, "question")));
  // The answer is sent to the address in the settings, where nothing listens.
  CHECK(
    Eventually([&] { return node.mTransport.Traffic().mFramesDropped == 1; }));
  std::array<char, kPeerLengthBytes> read{};
  const std::size_t bytes = socket.read_some(asio::buffer(read));
  CHECK(bytes == 1);
  CHECK(read[0] == '\0');
}

TEST_CASE("PeerTransport: answers in pieces are read, lengths over the bound "
          "end the connection")
{
  asio::io_context context;
  asio::ip::tcp::acceptor peer(context, Loopback(0));
  AnsweringNode node(FreePort(),
                     { { "b", Loopback(peer.local_endpoint().port()) } });
  asio::ip::tcp::socket socket = peer.accept();
  // The zero bytes are liveness bytes, which must be skipped.
  const std::string answers =
    std::string(8, '\0') + Framed(PeerChannel::Endpoints, "one") +
    Framed(PeerChannel::Endpoints, "two") + std::string(4, '\0') +
    Framed(PeerChannel::Endpoints, "three");
  for (const char byte : answers) {
    asio::write(socket, asio::buffer(&byte, 1));
  }
  const std::vector<std::string> expected = { "b:one", "b:two", "b:three" };
  CHECK(Eventually([&] { return node.Received() == expected; }));

  asio::write(socket, asio::buffer(std::string(4, '\xff')));
  CHECK(Eventually([&] { return node.mTransport.Traffic().mReconnects == 1; }));
}

TEST_CASE("PeerTransport: an instance that no list names is reached by a "
          "resolver, and one that it does not know is not")
{
  const std::uint16_t portA = FreePort();
  const std::uint16_t portB = FreePort();
  const InstanceName nameA = "127.0.0.1:" + std::to_string(portA);
  const InstanceName nameB = "127.0.0.1:" + std::to_string(portB);
  const PeerResolver resolver = [&](const InstanceName& aName) {
    std::optional<asio::ip::tcp::endpoint> found;
    if (aName == nameA || aName == nameB) {
      found = Loopback(aName == nameA ? portA : portB);
    }
    return found;
  };
  asio::io_context context;
  const auto work = asio::make_work_guard(context);
  AsioPeerTransport first(context, { nameA, "zagreb", 1 }, Loopback(portA), {});
  AsioPeerTransport second(
    context, { nameB, "zagreb", 1 }, Loopback(portB), {});
  std::atomic<int> receivedCount{ 0 };
  second.Subscribe(PeerChannel::Membership,
                   [&](const InstanceName& aFrom, const PeerFrame&) {
                     receivedCount += aFrom == nameA ? 1 : 0;
                   });
  for (AsioPeerTransport* transport : { &first, &second }) {
    transport->AllowUnlistedPeers(resolver);
    REQUIRE(transport->Listen().has_value());
    transport->Start();
  }
  std::thread thread([&] { context.run(); });
  CHECK_FALSE(first.IsConnected("127.0.0.1:1"));
  CHECK(Eventually([&] { return first.IsConnected(nameB); }));
  first.Send(nameB, { PeerChannel::Membership, 0, "hello" });
  CHECK(Eventually([&] { return receivedCount == 1; }));
  first.Stop();
  second.Stop();
  context.stop();
  thread.join();
}

// Guards against senders of made-up names that leave no place for the link to
// an instance that exists.
TEST_CASE("PeerTransport: links to made-up names give way to others")
{
  constexpr int kNames = 600;
  const std::uint16_t portA = FreePort();
  const std::uint16_t portB = FreePort();
  asio::io_context context;
  AsioPeerTransport first(context, { "a", "zagreb", 1 }, Loopback(portA), {});
  AsioPeerTransport second(context, { "b", "zagreb", 1 }, Loopback(portB), {});
  for (AsioPeerTransport* transport : { &first, &second }) {
    transport->AllowUnlistedPeers([portB](const InstanceName& aName) {
      return std::optional(Loopback(aName == "b" ? portB : 1));
    });
    REQUIRE(transport->Listen().has_value());
    transport->Start();
  }
  std::thread thread([&] { context.run(); });
  for (int i = 0; i < kNames; ++i) {
    first.Send("made-up-" + std::to_string(i),
               { PeerChannel::Membership, 0, "hello" });
  }
  CHECK(Eventually([&] { return first.IsConnected("b"); }));
  first.Stop();
  second.Stop();
  context.stop();
  thread.join();
}
