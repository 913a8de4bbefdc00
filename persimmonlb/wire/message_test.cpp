#include <random>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "persimmonlb/wire/message.h"

namespace persimmonlb
{

namespace
{

namespace data = boost::unit_test::data;

constexpr std::uint64_t large = 0xfedcba9876543210ULL;
const std::string anyBytes("\x00\xff\x80 bytes\n", 10);

ServerAnnouncement announcement()
{
    return {.server = {"s1"},
            .address = "10.0.0.1:80",
            .availabilityZone = {"ife-a"},
            .service = {"lettering-lm"},
            .kind = ServerKind::Plain,
            .state = ServerState::Leaving,
            .model = {"m"},
            .version = "v2",
            .adapters = {"a", "b"},
            .role = "decode",
            .checksFencing = true,
            .slots = 8,
            .load = {.running = 3, .queued = 4, .kvFree = 0.3},
            .incarnation = large,
            .sequence = 9};
}

FleetEntry entry()
{
    return {.host = {"h2"},
            .name = "entry-2",
            .address = "10.0.0.2:80",
            .availabilityZone = {"a"},
            .region = {"r"},
            .draining = true};
}

FleetStore store()
{
    return {.host = {"h1"},
            .name = "store-1",
            .meshAddress = "10.0.0.3:70",
            .controlAddress = "10.0.0.3:80",
            .availabilityZone = {"a"},
            .votes = true};
}

/// One message of every kind, every field away from its default.
std::vector<PeerMessage> everyKind()
{
    std::vector<PeerBody> bodies = {
        VoteRequest{.term = large,
                    .preVote = true,
                    .afterStart = true,
                    .lastLogIndex = 2,
                    .lastLogTerm = 3},
        VoteReply{.term = 1, .preVote = true, .granted = true},
        AppendRequest{.term = 1,
                      .previousIndex = 2,
                      .previousTerm = 3,
                      .commitIndex = 4,
                      .round = 5,
                      .entries = {{1, 2, EntryKind::Command, anyBytes},
                                  {3, 4, EntryKind::Configuration, ""},
                                  {5, 6, EntryKind::NoOperation, "x"}}},
        AppendReply{
            .term = 1, .success = true, .matchIndex = 2, .hintIndex = 3, .round = 4, .disk = 5},
        SnapshotChunk{.term = 1,
                      .lastIndex = 2,
                      .lastTerm = 3,
                      .configuration = anyBytes,
                      .chunk = 4,
                      .last = true,
                      .pairs = {{"k", anyBytes}, {anyBytes, ""}}},
        SnapshotReply{.term = 1, .lastIndex = 2, .nextChunk = 3, .installed = true},
        ProposeRequest{.requestId = 1, .command = anyBytes},
        QueryRequest{.requestId = 1, .query = anyBytes},
        ControlReply{.requestId = 1,
                     .code = ResultCode::NotLeader,
                     .message = "ask h2",
                     .leader = {"h2"},
                     .payload = anyBytes},
        LeaseRequest{.sequence = 1,
                     .incarnation = 2,
                     .address = "10.0.0.1:80",
                     .availabilityZone = {"ife-a"},
                     .region = {"sw-ng"},
                     .sheetNumber = 3,
                     .entryStateVersion = 4,
                     .hostsVersion = 5,
                     .wantHosts = true,
                     .meshAddress = "10.0.0.1:81",
                     .draining = true,
                     .stopped = true},
        LeaseGrant{.sequence = 1,
                   .leaseMs = 2,
                   .leader = {"h1"},
                   .sheetNumber = 3,
                   .entryStateVersion = 4,
                   .draining = true,
                   .hostsVersion = 5,
                   .pendingServices = {{"a"}, {"b"}},
                   .hasHosts = true,
                   .hosts = {{.host = {"h1"},
                              .address = "10.0.0.1:80",
                              .availabilityZone = {"ife-a"},
                              .region = {"sw-ng"},
                              .incarnation = 6,
                              .sheetNumber = 7,
                              .entryStateVersion = 8,
                              .meshAddress = "10.0.0.1:81",
                              .draining = true,
                              .leaseLeftMs = 9}}},
        ServerDigest{.sequence = 1,
                     .echo = 2,
                     .rows = {{.announcement = announcement(),
                               .ageMs = 3,
                               .onlineInFlight = 4,
                               .batchInFlight = 5,
                               .firstHand = false}},
                     .demand = {{.caller = {"c"}, .perSecond = 0.1}}},
        YieldRequest{.server = {"s1"}, .slots = 2},
        FleetView{.term = 1,
                  .version = 2,
                  .leader = {"h1"},
                  .routesVersion = 3,
                  .servers = {FleetServer{.id = {"s1"},
                                          .bornMs = 4,
                                          .sequence = 5,
                                          .service = {"lm"},
                                          .address = "10.0.0.1:80",
                                          .availabilityZone = {"a"},
                                          .slots = 6,
                                          .draining = true,
                                          .requestsPerKs = 2400}},
                  .entries = {entry()},
                  .stores = {store()},
                  .endedServers = {{{"s2"}, 7}}},
        FleetChange{.baseTerm = 1,
                    .baseVersion = 2,
                    .term = 3,
                    .version = 4,
                    .leader = {"h1"},
                    .routesVersion = 5,
                    .servers = {FleetServer{.id = {"s1"},
                                            .bornMs = 6,
                                            .sequence = 7,
                                            .service = {"lm"},
                                            .address = "10.0.0.1:80",
                                            .availabilityZone = {"a"},
                                            .slots = 8,
                                            .draining = true}},
                    .goneServers = {{"s2"}},
                    .entries = {entry()},
                    .goneEntries = {{"h3"}, {"h4"}},
                    .stores = {store()},
                    .goneStores = {{"h5"}}},
        AttachedHosts{.whole = true, .entries = {entry()}, .gone = {{"h3"}}},
        HostReport{.member = {"h1#2"},
                   .unused = true,
                   .name = "store-1",
                   .address = "10.0.0.2:80",
                   .meshAddress = "10.0.0.2:70",
                   .controlAddress = "10.0.0.2:60",
                   .availabilityZone = {"a"},
                   .region = {"r"},
                   .draining = true,
                   .routesVersion = 1,
                   .viewTerm = 2,
                   .viewVersion = 3},
        RoutesPush{.version = 4, .text = std::string("\0{}", 3)},
        ServerNotice{.requestId = 5, .server = {}, .gone = true},
        ServerNoticeReply{.requestId = 5, .taken = true},
        MemberRemoved{.member = {"h1#2"}},
        SlotRequest{.ticket = 1,
                    .service = {"lm"},
                    .availabilityZone = {"a"},
                    .priority = 2,
                    .startWithinMs = 3,
                    .giveUpAfterMs = 4,
                    .cameBack = true,
                    .tokens = 5,
                    .prompt = {{.key = 6, .tokens = 7}},
                    .excluded = {{"s1"}},
                    .customer = {"c"},
                    .customerWeight = 0.25},
        SlotGrant{.ticket = 1, .server = {"s1"}, .address = "10.0.0.1:80", .bornMs = large},
        ServerLeaving{.server = {"s1"}, .bornMs = large},
        ServerLimit{.server = {"s1"}, .bornMs = large, .requestsPerKs = 2400},
        SlotRefusal{.ticket = 1, .retryAfterMs = 250},
        SlotEnd{.ticket = 1, .outcome = SlotOutcome::Failed, .heldMs = 900},
        SlotsHeld{{{.ticket = 1, .server = {"s1"}, .tokens = 2}}},
        LeaderBeat{.term = 9, .version = 10, .ageMs = 11},
        RunVerdict{.fingerprint = 10,
                   .server = {"s1"},
                   .broken = true,
                   .bornMs = large,
                   .parts = {11, 12},
                   .ageMs = 13},
        CrashSuspects{.term = 9,
                      .version = 3,
                      .suspects = {{.fingerprint = 10,
                                    .processes = {{{"s1"}, 1}, {{"s2"}, large}},
                                    .blocks = 1,
                                    .blockedForMs = 60000,
                                    .isPart = true,
                                    .requests = {14, 15},
                                    .abortAgesMs = {16, 17},
                                    .prober = {"e1"}}}},
    };
    std::vector<PeerMessage> messages;
    messages.reserve(bodies.size());
    for (PeerBody &body : bodies) {
        messages.push_back({7, std::move(body), HostId{"h1#2"}, HostId{"h2"}});
    }
    return messages;
}

template <std::size_t... kinds>
std::vector<PeerMessage> defaultsOfEveryKind(std::index_sequence<kinds...>)
{
    return {PeerMessage{defaultGroup, std::variant_alternative_t<kinds, PeerBody>(), {}, {}}...};
}

std::string cbor(const nlohmann::json &json)
{
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    return bytes;
}

void requireMalformed(std::string_view bytes)
{
    const auto outcome = decodeMessage(bytes);
    BOOST_REQUIRE(!outcome.ok());
    BOOST_TEST((outcome.error().code == ResultCode::MalformedRequest));
}

} // namespace

BOOST_AUTO_TEST_SUITE(MessageTest)

BOOST_AUTO_TEST_CASE(everyMessageSurvivesTheWire)
{
    const auto filled = everyKind();
    BOOST_REQUIRE(filled.size() == std::variant_size_v<PeerBody>);
    for (const PeerMessage &message : filled) {
        const auto decoded = decodeMessage(encodeMessage(message));
        BOOST_REQUIRE(decoded.ok());
        BOOST_TEST((decoded.value() == message), "kind " << message.body.index());
    }
    for (const PeerMessage &message :
         defaultsOfEveryKind(std::make_index_sequence<std::variant_size_v<PeerBody>>())) {
        const auto decoded = decodeMessage(encodeMessage(message));
        BOOST_REQUIRE(decoded.ok());
        BOOST_TEST((decoded.value() == message), "default of kind " << message.body.index());
    }
}

BOOST_AUTO_TEST_CASE(fieldsOfTheNextReleaseAreIgnored)
{
    const auto outcome = decodeMessage(cbor(
        {{"g", 1}, {"m", 12}, {"x", {1, 2}}, {"b", {{"s", "s1"}, {"n", 2}, {"zz", {{"a", 1}}}}}}));
    BOOST_REQUIRE(outcome.ok());
    BOOST_TEST((outcome.value() == PeerMessage{1, YieldRequest{.server = {"s1"}, .slots = 2}}));
}

BOOST_AUTO_TEST_CASE(wrongTypesAndRangesAreRefused)
{
    using Json = nlohmann::json;
    const Json announced = {{"m", 11}, {"g", 0}};
    for (const Json &json : {
             Json(1),
             Json::array({1}),
             Json({{"m", 0}, {"b", Json::object()}}),
             Json({{"g", 0}, {"b", Json::object()}}),
             Json({{"g", 0}, {"m", 0}}),
             Json({{"g", 0}, {"m", 0}, {"b", Json::array()}}),
             Json({{"g", 0}, {"m", std::variant_size_v<PeerBody>}, {"b", Json::object()}}),
             Json({{"g", 0}, {"m", -1}, {"b", Json::object()}}),
             Json({{"g", 1ULL << 32U}, {"m", 0}, {"b", Json::object()}}),
             Json({{"g", 0}, {"m", 0}, {"b", {{"t", -1}}}}),
             Json({{"g", 0}, {"m", 0}, {"b", {{"t", 1.5}}}}),
             Json({{"g", 0}, {"m", 0}, {"b", {{"t", "1"}}}}),
             Json({{"g", 0}, {"m", 0}, {"b", {{"p", 1}}}}),
             Json({{"g", 0}, {"m", 2}, {"b", {{"e", {{1, 2, 3, "x"}}}}}}),
             Json({{"g", 0}, {"m", 2}, {"b", {{"e", {{1, 2, 0}}}}}}),
             Json({{"g", 0}, {"m", 2}, {"b", {{"e", {{{"a", 1}}}}}}}),
             Json({{"g", 0}, {"m", 4}, {"b", {{"p", {{"k"}}}}}}),
             Json({{"g", 0}, {"m", 8}, {"b", {{"r", 9999}}}}),
             Json({{"g", 0}, {"m", 8}, {"b", {{"r", 70000}}}}),
             Json({{"g", 0}, {"m", 11}, {"b", {{"r", {{{"o", 1ULL << 32U}}}}}}}),
             Json({{"g", 0}, {"m", 11}, {"b", {{"r", {{{"a", {{"k", 2}}}}}}}}}),
             Json({{"g", 0}, {"m", 11}, {"b", {{"r", {{{"a", {{"l", {{"k", 1.5}}}}}}}}}}}),
             Json({{"g", 0}, {"m", 11}, {"b", {{"d", {{{"p", -0.5}}}}}}}),
         }) {
        BOOST_TEST_CONTEXT(json.dump())
        {
            requireMalformed(cbor(json));
        }
    }
    requireMalformed("");
}

BOOST_AUTO_TEST_CASE(deepNestingAndHugeCountsAreRefused)
{
    requireMalformed(std::string(16UL * 1024 * 1024, '\x81'));
    requireMalformed(std::string(16UL * 1024 * 1024, '\x9f'));
    requireMalformed(std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff", 9));
    requireMalformed(std::string("\x5b\x7f\xff\xff\xff\xff\xff\xff\xff", 9));
    requireMalformed(std::string("\xbb\x00\xff\xff\xff\xff\xff\xff\xff", 9));
}

BOOST_AUTO_TEST_CASE(truncatedAndProlongedMessagesAreRefused)
{
    for (const PeerMessage &message : everyKind()) {
        const std::string bytes = encodeMessage(message);
        for (std::size_t size = 0; size < bytes.size(); ++size) {
            requireMalformed(std::string_view(bytes).substr(0, size));
        }
        requireMalformed(bytes + '\0');
    }
}

/// Whatever the bytes: either an error, or a message that encodes and decodes to itself.
BOOST_DATA_TEST_CASE(mutatedBytesNeverHarm, data::xrange(20), seed)
{
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    std::vector<std::string> corpus;
    for (const PeerMessage &message : everyKind()) {
        corpus.push_back(encodeMessage(message));
    }
    constexpr int trials = 2000;
    int accepted = 0;
    for (int trial = 0; trial < trials; ++trial) {
        std::string bytes = corpus[random() % corpus.size()];
        const std::size_t changes = 1 + random() % 4;
        for (std::size_t i = 0; i < changes; ++i) {
            const std::size_t at = random() % bytes.size();
            switch (random() % 4) {
            case 0:
                bytes[at] = static_cast<char>(random());
                break;
            case 1:
                bytes[at] = static_cast<char>(bytes[at] ^ (1 << (random() % 8)));
                break;
            case 2:
                bytes.insert(at, 1, static_cast<char>(random()));
                break;
            default:
                bytes.erase(at, 1);
                break;
            }
            if (bytes.empty()) {
                bytes = "x";
            }
        }
        const auto decoded = decodeMessage(bytes);
        if (!decoded.ok()) {
            continue;
        }
        ++accepted;
        const auto again = decodeMessage(encodeMessage(decoded.value()));
        BOOST_REQUIRE(again.ok());
        BOOST_REQUIRE((again.value() == decoded.value()));
    }
    BOOST_TEST(accepted > 0);
    BOOST_TEST(accepted < trials);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
