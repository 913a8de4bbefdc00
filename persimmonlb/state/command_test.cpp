#include <random>
#include <string>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "persimmonlb/base/cborcheck.h"
#include "persimmonlb/state/command.h"
#include "persimmonlb/state/query.h"

namespace persimmonlb
{

BOOST_AUTO_TEST_SUITE(CommandCodecTest)

namespace
{

const WallTime noon{Milliseconds(1'796'299'200'000)};
const Owner owner{.host = {"entry-1"}, .incarnation = 7};

std::vector<Command> allCommands()
{
    return {
        ApplySheet{.text = "number = 1\n", .by = {"ada"}, .at = noon},
        OpenJob{.id = {"j1"},
                .caller = {"shop"},
                .idempotencyKey = "k1",
                .service = {"lettering-lm"},
                .due = noon,
                .itemCount = 2,
                .bodyDigest = "d1",
                .at = noon},
        AddItems{.id = {"j1"},
                 .firstIndex = 0,
                 .items
                 = {{.customId = "a", .idempotent = true, .body = "{}"},
                    {.customId = "b", .idempotent = false, .body = std::string("\0\xff", 2)}}},
        SealJob{.id = {"j1"}, .at = noon},
        CancelJob{.id = {"j1"}, .caller = {"shop"}, .by = "shop", .at = noon},
        LeaseItems{.owner = owner, .sequence = 9, .service = {"s"}, .maxItems = 4, .at = noon},
        CompleteItems{.owner = owner,
                      .outcomes = {{.job = {"j1"},
                                    .index = 1,
                                    .attempt = 2,
                                    .kind = ItemOutcomeKind::NotRun,
                                    .status = 503,
                                    .body = "x"}},
                      .at = noon},
        ReleaseOwner{.owner = owner, .at = noon},
        ClaimRequest{.key = {.caller = {"shop"}, .idempotencyKey = "c1"},
                     .service = {"booking-app"},
                     .bodyDigest = "d2",
                     .owner = owner,
                     .requestId = "r1",
                     .at = noon},
        RecordOutcome{.key = {.caller = {"shop"}, .idempotencyKey = "c1"},
                      .owner = owner,
                      .requestId = "r1",
                      .state = ClaimState::Conflict,
                      .answer = {.status = 200, .contentType = "text/plain", .body = "ok"},
                      .at = noon},
        RegisterHost{.owner = owner,
                     .address = "10.0.0.1:8080",
                     .availabilityZone = {"ife-a"},
                     .region = {"sw-ng"},
                     .at = noon},
        DrainHost{.host = {"entry-1"}, .draining = false, .by = "ada", .at = noon},
        ReportSuspects{.server = {"s1"},
                       .serverIncarnation = 3,
                       .fingerprints = {"f1", "f2"},
                       .alone = true,
                       .period = Milliseconds(60000),
                       .at = noon},
        ReleaseQuarantine{.fingerprint = "f1", .by = "ada", .at = noon},
        ReserveFencing{.count = 5, .description = "load", .at = noon},
        AppendAudit{.owner = owner,
                    .batch = 4,
                    .records = {{.sequence = 0,
                                 .at = noon,
                                 .kind = "refusal",
                                 .who = "shop",
                                 .subject = "lettering-lm",
                                 .code = 201,
                                 .count = 12,
                                 .detail = "quota"}}},
        PutRoutes{.version = 7, .text = "{}", .at = noon},
        AcceptBulk{.id = {"b1"},
                   .route = "r",
                   .host = "a.example",
                   .items = {{.id = "i1",
                              .path = "/a/1",
                              .headers = {{"Model", "m"}},
                              .body = std::string("\0\xff", 2),
                              .tokens = 9}},
                   .maxWaitingTokens = 10,
                   .maxAttempts = 3,
                   .dueAfter = Milliseconds(18000),
                   .abandonAfter = Milliseconds(30000),
                   .keepFor = Milliseconds(120000),
                   .at = noon},
        RecordBulk{.id = {"b1"},
                   .outcomes = {{.index = 1,
                                 .phase = BulkItemPhase::DeadLettered,
                                 .attempt = 3,
                                 .fromCount = 2,
                                 .output = "a\nb"}},
                   .at = noon},
        EndBulk{.id = {"b1"}, .at = noon},
        RetireStore{.name = "store-1", .at = noon},
        SaveBulkProgress{.parts = {{.id = {"b1"},
                                    .index = 1,
                                    .fromCount = 2,
                                    .count = 3,
                                    .lastEventId = 4,
                                    .output = "a"}},
                         .at = noon},
        SaveFleet{.view = std::string("\0\xff", 2), .at = noon},
    };
}

/// Encodings of every command and of some replies, queries and answers: seeds for mutation.
std::vector<std::string> corpus()
{
    std::vector<std::string> encodings;
    for (const Command &command : allCommands()) {
        encodings.push_back(encodeCommand(command));
    }
    encodings.push_back(
        encodeReply(JobReply{.code = ResultCode::NotFound, .message = "m", .id = {"j1"}}));
    encodings.push_back(encodeQuery(ResultsQuery{.id = {"j1"}, .firstIndex = 3, .limit = 10}));
    encodings.push_back(encodeAnswer(ResultsAnswer{.found = true, .items = {ItemResult{}}}));
    return encodings;
}

} // namespace

BOOST_AUTO_TEST_CASE(everyCommandSurvivesTheCodec)
{
    for (const Command &command : allCommands()) {
        const auto decoded = decodeCommand(encodeCommand(command));
        BOOST_REQUIRE(decoded.ok());
        BOOST_TEST((decoded.value() == command));
    }
    BOOST_TEST(allCommands().size() == std::variant_size_v<Command>);
}

BOOST_AUTO_TEST_CASE(repliesAndAnswersSurviveTheCodec)
{
    LeasedItem item;
    item.job = {"j1"};
    item.index = 4;
    item.attempt = 1;
    item.due = noon;
    const Reply reply = LeaseReply{.items = {item}, .pending = 12};
    BOOST_TEST((decodeReply(encodeReply(reply)).value() == reply));
    const Reply claim = ClaimReply{.state = ClaimState::Answered,
                                   .owner = owner,
                                   .answer = {.status = 201, .contentType = "a/b", .body = "x"}};
    BOOST_TEST((decodeReply(encodeReply(claim)).value() == claim));
    const Answer answer = EntryStateAnswer{.version = 4,
                                           .convictions = {{.fingerprint = "f", .until = noon}},
                                           .suspects = {"g"},
                                           .draining = {{"h"}},
                                           .cancelledRecently = {{"j"}}};
    BOOST_TEST((decodeAnswer(encodeAnswer(answer)).value() == answer));
    const Query query = AuditQuery{.since = noon, .kind = "job", .afterSequence = 3, .limit = 5};
    BOOST_TEST((decodeQuery(encodeQuery(query)).value() == query));
    for (const Query &asked :
         {Query(RoutesQuery{}), Query(BulkPageQuery{.id = {"b1"}, .after = 2, .maxBytes = 3}),
          Query(BulkBodyQuery{.id = {"b1"}, .item = "i1"}), Query(RetiredStoresQuery{})}) {
        BOOST_TEST((decodeQuery(encodeQuery(asked)).value() == asked));
    }
    for (const Answer &given :
         {Answer(RoutesAnswer{.version = 3, .text = "{}"}),
          Answer(BulkPage{.found = true,
          .total = 2,
          .results = {{.id = "i1", .phase = BulkItemPhase::Completed, .output = "a"}}}),
          Answer(BulkBody{.found = true, .body = std::string("\0", 1)}),
          Answer(RetiredStores{{"store-1"}})}) {
        BOOST_TEST((decodeAnswer(encodeAnswer(given)).value() == given));
    }
}

BOOST_AUTO_TEST_CASE(aNumberOutOfRangeIsRefused)
{
    std::string bytes = encodeReply(PlainReply{.code = ResultCode::Ok, .message = "m"});
    const std::string wanted("\x64"
                             "code\x00",
                             6);
    const auto position = bytes.find(wanted);
    BOOST_REQUIRE(position != std::string::npos);
    bytes.replace(position, wanted.size(),
                  std::string("\x64"
                              "code\x1a\x00\x01\x00\x00",
                              10));
    BOOST_TEST(!decodeReply(bytes).ok());
}

BOOST_AUTO_TEST_CASE(declaredSizesAndDepthAreNotTrusted)
{
    const std::vector<std::string> hostile{
        std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff", 9), // array of 2^64-1
        std::string("\x7b\x7f\xff\xff\xff\xff\xff\xff\xff", 9), // text of 2^63-1 bytes
        std::string(1'000'000, '\x81'), // a million arrays inside each other
        std::string(1'000'000, '\x7f'), // strings of indefinite length inside each other
        std::string(1'000'000, '\xc1'), // tags
        std::string(),
    };
    for (const std::string &bytes : hostile) {
        BOOST_TEST(!decodeCommand(bytes).ok());
        BOOST_TEST(!decodeAnswer(bytes).ok());
    }
}

BOOST_AUTO_TEST_CASE(depthIsBounded)
{
    constexpr std::size_t deepest = 15;
    BOOST_TEST(isBoundedCbor(std::string(deepest, '\x81') + '\x00'));
    BOOST_TEST(!isBoundedCbor(std::string(deepest + 1, '\x81') + '\x00'));
}

BOOST_DATA_TEST_CASE(mutatedBytesNeverThrow, boost::unit_test::data::xrange(8), round)
{
    const auto seed = static_cast<std::uint32_t>(20261204 + round);
    BOOST_TEST_MESSAGE("seed " << seed);
    std::mt19937 random(seed);
    for (std::string bytes : corpus()) {
        for (int mutation = 0; mutation < 200; ++mutation) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
            if (random() % 16 == 0) {
                bytes.resize(1 + random() % bytes.size());
            }
            BOOST_CHECK_NO_THROW((void)decodeCommand(bytes).ok());
            BOOST_CHECK_NO_THROW((void)decodeReply(bytes).ok());
            BOOST_CHECK_NO_THROW((void)decodeQuery(bytes).ok());
            BOOST_CHECK_NO_THROW((void)decodeAnswer(bytes).ok());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
