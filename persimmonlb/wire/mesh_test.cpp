#include <algorithm>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include "persimmonlb/wire/internal/handshake.h"
#include "persimmonlb/wire/internal/websocketendpoint.h"
#include "persimmonlb/wire/mesh.h"

namespace persimmonlb
{

namespace
{

using internal::Handshake;
using internal::LinkId;
using internal::WebsocketEndpoint;

constexpr const char *key = "shared secret";

/// The decision thread of a test: runs what the meshes post.
struct DecisionThread {
    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work
        = boost::asio::make_work_guard(context);

    /// Runs posted functions until `done`; the test's time limit ends a wait in vain.
    void runUntil(const std::function<bool()> &done)
    {
        while (!done()) {
            context.run_one();
        }
    }
};

/// A mesh and what its hooks told.
struct Host {
    HostId id;
    std::vector<std::pair<HostId, std::string>> received;
    std::vector<HostId> connected;
    std::vector<HostId> disconnected;
    std::unique_ptr<Mesh> mesh;

    Host(DecisionThread &thread, const std::string &name, MeshOptions options = {})
        : id{name}
    {
        options.self = id;
        if (options.listenAddress.empty()) {
            options.listenAddress = "127.0.0.1:0";
        }
        if (options.sharedKey.empty()) {
            options.sharedKey = key;
        }
        options.reconnectInterval = Milliseconds(20);
        auto outcome = capture([&] { return Mesh::start(options, hooks(thread)); });
        BOOST_REQUIRE_MESSAGE(outcome.ok(), "mesh starts");
        mesh = std::move(outcome.value());
    }

    MeshHooks hooks(DecisionThread &thread)
    {
        return {.received
                = [this](const HostId &from,
                         std::string bytes) { received.emplace_back(from, std::move(bytes)); },
                .connected = [this](const HostId &peer) { connected.push_back(peer); },
                .disconnected = [this](const HostId &peer) { disconnected.push_back(peer); },
                .post =
                    [&thread](std::function<void()> function) {
                        boost::asio::post(thread.context, std::move(function));
                    }};
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(mesh->port());
    }
    [[nodiscard]] MeshPeer asPeer() const
    {
        return {id, address()};
    }
    [[nodiscard]] bool reaches(const HostId &peer) const
    {
        const auto peers = mesh->connectedPeers();
        return std::ranges::find(peers, peer) != peers.end();
    }
};

void connectBoth(DecisionThread &thread, Host &left, Host &right)
{
    left.mesh->addPeer(right.asPeer());
    right.mesh->addPeer(left.asPeer());
    thread.runUntil([&] { return left.reaches(right.id) && right.reaches(left.id); });
}

/// Both ends can still send to each other.
void requireExchange(DecisionThread &thread, Host &left, Host &right)
{
    const std::size_t atLeft = left.received.size();
    const std::size_t atRight = right.received.size();
    BOOST_TEST(left.mesh->send(right.id, "to " + right.id.value));
    BOOST_TEST(right.mesh->send(left.id, "to " + left.id.value));
    thread.runUntil(
        [&] { return left.received.size() > atLeft && right.received.size() > atRight; });
    BOOST_TEST(left.received.back().second == "to " + left.id.value);
    BOOST_TEST((left.received.back().first == right.id));
    BOOST_TEST(right.received.back().second == "to " + right.id.value);
}

/// A websocket client that does as the test says; its loop runs only inside run().
struct Rogue {
    bool isOpen = false;
    bool isClosed = false;
    std::function<void(std::string)> onMessage;
    std::unique_ptr<WebsocketEndpoint> endpoint
        = WebsocketEndpoint::create({.opened =
                                         [this](LinkId, bool) {
                                             isOpen = true;
                                             endpoint->stop();
                                         },
                                     .received =
                                         [this](LinkId, std::string bytes) {
                                             if (onMessage) {
                                                 onMessage(std::move(bytes));
                                             }
                                         },
                                     .heard = [](LinkId) {},
                                     .closed =
                                         [this](LinkId, const std::string &) {
                                             isClosed = true;
                                             endpoint->stop();
                                         }},
                                    1);
    LinkId link;
    std::shared_ptr<std::atomic<std::uint64_t>> unsent
        = std::make_shared<std::atomic<std::uint64_t>>(0);

    explicit Rogue(const std::string &address)
        : link(endpoint->dial(address))
    {
        endpoint->run();
        BOOST_REQUIRE(isOpen);
    }

    void send(std::string bytes)
    {
        endpoint->send(link, std::move(bytes), unsent);
    }
    void requireClosed()
    {
        endpoint->restart();
        endpoint->run();
        BOOST_TEST(isClosed);
    }
    /// Proves the key truly, as host `name`.
    void authenticate(const std::string &name, const HostId &expected)
    {
        Handshake handshake = Handshake::dial({{name}, key}, expected, internal::systemNonces());
        send(*handshake.takeOutput());
        onMessage = [&](const std::string &bytes) {
            BOOST_REQUIRE(handshake.receive(bytes).ok());
            if (auto output = handshake.takeOutput()) {
                send(std::move(*output));
            }
            if (handshake.done()) {
                endpoint->stop();
            }
        };
        endpoint->restart();
        endpoint->run();
        BOOST_REQUIRE(handshake.done());
        onMessage = nullptr;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(MeshTest)

BOOST_AUTO_TEST_CASE(messagesArriveInOrderInBothDirections)
{
    DecisionThread thread;
    Host left(thread, "h1");
    Host right(thread, "h2");
    connectBoth(thread, left, right);
    constexpr int count = 1000;
    for (int i = 0; i < count; ++i) {
        BOOST_TEST(left.mesh->send(right.id, std::to_string(i)));
        BOOST_TEST(right.mesh->send(left.id, std::string(static_cast<std::size_t>(i), 'x')));
    }
    thread.runUntil(
        [&] { return left.received.size() == count && right.received.size() == count; });
    for (int i = 0; i < count; ++i) {
        BOOST_TEST(right.received[i].second == std::to_string(i));
        BOOST_TEST(left.received[i].second.size() == static_cast<std::size_t>(i));
    }
    BOOST_TEST(!left.mesh->send({"h3"}, "nobody"));
}

BOOST_AUTO_TEST_CASE(bothDiallingAtOnceCanTalk)
{
    for (int round = 0; round < 10; ++round) {
        DecisionThread thread;
        Host left(thread, "h1");
        Host right(thread, "h2");
        connectBoth(thread, left, right);
        requireExchange(thread, left, right);
    }
}

BOOST_AUTO_TEST_CASE(hostThatIsNoPeerIsConnectedByItsProof)
{
    DecisionThread thread;
    Host known(thread, "h1");
    Host newcomer(thread, "h0");
    newcomer.mesh->addPeer(known.asPeer());
    thread.runUntil([&] { return known.reaches(newcomer.id) && newcomer.reaches(known.id); });
    requireExchange(thread, known, newcomer);
}

/// The listener of the lower id cannot be dialled; the higher one's can.
BOOST_AUTO_TEST_CASE(oneReachableListenerIsEnough)
{
    for (const bool lowerKnowsAddress : {true, false}) {
        DecisionThread thread;
        Host lower(thread, "h1");
        Host higher(thread, "h2");
        lower.mesh->addPeer(lowerKnowsAddress ? higher.asPeer()
                                              : MeshPeer{higher.id, "127.0.0.1:1"});
        higher.mesh->addPeer(lowerKnowsAddress ? MeshPeer{lower.id, "127.0.0.1:1"}
                                               : lower.asPeer());
        thread.runUntil([&] { return lower.reaches(higher.id) && higher.reaches(lower.id); });
        requireExchange(thread, lower, higher);
    }
}

BOOST_AUTO_TEST_CASE(peerIsConnectedAgainAfterARestart)
{
    DecisionThread thread;
    Host steady(thread, "h1");
    auto restarted = std::make_unique<Host>(thread, "h2");
    connectBoth(thread, steady, *restarted);
    const std::string address = restarted->address();
    restarted.reset();
    thread.runUntil([&] { return !steady.disconnected.empty(); });
    BOOST_TEST(!steady.mesh->send({"h2"}, "gone"));
    MeshOptions options;
    options.listenAddress = address;
    options.peers = {steady.asPeer()};
    restarted = std::make_unique<Host>(thread, "h2", options);
    thread.runUntil([&] { return steady.reaches({"h2"}) && restarted->reaches(steady.id); });
    requireExchange(thread, steady, *restarted);
}

BOOST_AUTO_TEST_CASE(messageAsLargeAsAllowedArrivesWhole)
{
    DecisionThread thread;
    Host left(thread, "h1");
    Host right(thread, "h2");
    connectBoth(thread, left, right);
    std::string large(MeshOptions().maxMessageBytes, 'a');
    for (std::size_t i = 0; i < large.size(); i += 4096) {
        large[i] = static_cast<char>(i / 4096);
    }
    BOOST_TEST(left.mesh->send(right.id, large));
    BOOST_TEST(right.mesh->send(left.id, large));
    BOOST_TEST(!left.mesh->send(right.id, large + "b"));
    BOOST_TEST(left.mesh->send(right.id, ""));
    thread.runUntil([&] { return right.received.size() == 2 && left.received.size() == 1; });
    BOOST_TEST((right.received[0].second == large));
    BOOST_TEST(right.received[1].second.empty());
    BOOST_TEST((left.received[0].second == large));
}

BOOST_AUTO_TEST_CASE(wrongKeyIsClosedAtNoCostToOthers)
{
    DecisionThread thread;
    Host host(thread, "h1");
    Host friendly(thread, "h2");
    connectBoth(thread, host, friendly);
    MeshOptions options;
    options.sharedKey = "guess";
    options.peers = {host.asPeer()};
    const Host intruder(thread, "h3", options);

    Rogue rogue(host.address());
    Handshake handshake = Handshake::dial({{"h3"}, "guess"}, host.id, internal::systemNonces());
    rogue.send(*handshake.takeOutput());
    // The proof is made without looking at the challenge.
    rogue.onMessage = [&](const std::string &challenge) {
        rogue.send(challenge);
    };
    rogue.requireClosed();
    requireExchange(thread, host, friendly);
    BOOST_TEST(!host.reaches({"h3"}));
    BOOST_TEST(intruder.connected.empty());
    BOOST_TEST(host.connected.size() == 1U);
}

BOOST_AUTO_TEST_CASE(brokenPeersAreClosedAtNoCostToOthers)
{
    DecisionThread thread;
    Host host(thread, "h1");
    Host friendly(thread, "h2");
    connectBoth(thread, host, friendly);
    for (const std::string &bytes :
         {std::string("garbage"), std::string(), std::string(100000, 'x')}) {
        Rogue rogue(host.address());
        rogue.send(bytes);
        rogue.requireClosed();
    }
    for (const std::string &bytes :
         {std::string(), std::string("no mark"), std::string(1024UL * 1024, '\0')}) {
        Rogue rogue(host.address());
        rogue.authenticate("h9", host.id);
        rogue.send(bytes);
        rogue.requireClosed();
    }
    // Endless frames of one message.
    Rogue endless(host.address());
    endless.authenticate("h9", host.id);
    for (int i = 0; i < 100; ++i) {
        endless.send(std::string(200000, '\1'));
    }
    endless.requireClosed();
    requireExchange(thread, host, friendly);
    BOOST_TEST(friendly.disconnected.empty());
    for (const auto &[from, bytes] : host.received) {
        BOOST_TEST((from == friendly.id));
    }
}

// Guards against strangers that keep peers out: those that prove nothing filled the bound, and
// whoever came later was refused.
BOOST_AUTO_TEST_CASE(peerGetsInWhileStrangersFillTheBound)
{
    DecisionThread thread;
    MeshOptions options;
    options.maxUnprovedConnections = 2;
    Host host(thread, "h1", options);
    Rogue first(host.address());
    Rogue second(host.address());
    Rogue third(host.address());
    first.requireClosed();
    Host friendly(thread, "h2");
    friendly.mesh->addPeer(host.asPeer());
    thread.runUntil([&] { return friendly.reaches(host.id) && host.reaches(friendly.id); });
    requireExchange(thread, host, friendly);
    second.requireClosed();
}

BOOST_AUTO_TEST_CASE(peerThatStopsReadingIsBoundedAndThenGivenUp)
{
    DecisionThread thread;
    MeshOptions options;
    options.maxQueuedBytesPerPeer = 8UL * 1024 * 1024;
    Host host(thread, "h1", options);
    Host friendly(thread, "h2");
    connectBoth(thread, host, friendly);
    Rogue frozen(host.address());
    frozen.authenticate("h9", host.id);
    thread.runUntil([&] { return host.reaches({"h9"}); });

    const std::string message(100000, 'x');
    std::size_t taken = 0;
    constexpr std::size_t farTooMany = 100000;
    while (taken < farTooMany && host.mesh->send({"h9"}, message)) {
        ++taken;
    }
    BOOST_TEST(taken > 0U);
    BOOST_TEST(taken < farTooMany);
    requireExchange(thread, host, friendly);
    thread.runUntil([&] { return !host.disconnected.empty(); });
    BOOST_TEST((host.disconnected[0] == HostId{"h9"}));
    BOOST_TEST(!host.mesh->send({"h9"}, "x"));
}

/// The memory that a decision thread which hangs can take is bounded: its mesh stops reading, and
/// the sender's queue fills. Nothing that was taken is lost when it goes on.
BOOST_AUTO_TEST_CASE(hangingDecisionThreadIsNotFlooded)
{
    DecisionThread thread;
    DecisionThread hanging;
    MeshOptions options;
    options.maxQueuedBytesPerPeer = 4UL * 1024 * 1024;
    Host sender(thread, "h1", options);
    Host receiver(hanging, "h2", options);
    sender.mesh->addPeer(receiver.asPeer());
    thread.runUntil([&] { return sender.reaches(receiver.id); });

    const std::string message(100000, 'x');
    constexpr std::size_t farTooMany = 5000;
    constexpr int standstill = 200000;
    std::size_t taken = 0;
    int refused = 0;
    while (refused < standstill && taken < farTooMany) {
        if (sender.mesh->send(receiver.id, message)) {
            ++taken;
            refused = 0;
            continue;
        }
        ++refused;
        std::this_thread::yield();
    }
    BOOST_TEST(taken < farTooMany);

    hanging.runUntil([&] { return receiver.received.size() == taken; });
    BOOST_TEST(sender.mesh->send(receiver.id, "after"));
    hanging.runUntil([&] { return receiver.received.size() == taken + 1; });
}

BOOST_AUTO_TEST_CASE(noHookIsCalledAfterTheDestructor)
{
    DecisionThread thread;
    Host left(thread, "h1");
    Host right(thread, "h2");
    connectBoth(thread, left, right);
    for (int i = 0; i < 100; ++i) {
        left.mesh->send(right.id, "x");
    }
    thread.runUntil([&] { return !right.received.empty(); });
    right.mesh.reset();
    const std::size_t before = right.received.size();
    thread.runUntil([&] { return !left.disconnected.empty(); });
    BOOST_TEST(right.received.size() == before);
    BOOST_TEST(right.disconnected.empty());
}

BOOST_AUTO_TEST_CASE(wrongSettingsAreNamed)
{
    DecisionThread thread;
    Host host(thread, "h1");
    const auto codeOf = [&](const MeshOptions &options) {
        const auto outcome = capture([&] { return Mesh::start(options, host.hooks(thread)); });
        return outcome.ok() ? ResultCode::Ok : outcome.error().code;
    };
    const MeshOptions good{
        .self = {"h2"}, .listenAddress = "127.0.0.1:0", .sharedKey = key, .peers = {}};
    MeshOptions options = good;
    options.listenAddress = host.address();
    BOOST_TEST((codeOf(options) == ResultCode::AddressInUse));
    options.listenAddress = "somewhere";
    BOOST_TEST((codeOf(options) == ResultCode::SettingsInvalid));
    options = good;
    options.sharedKey.clear();
    BOOST_TEST((codeOf(options) == ResultCode::SettingsInvalid));
    options = good;
    options.self = {"two words"};
    BOOST_TEST((codeOf(options) == ResultCode::SettingsInvalid));
    BOOST_TEST((codeOf(good) == ResultCode::Ok));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
