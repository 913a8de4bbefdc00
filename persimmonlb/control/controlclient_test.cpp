#include <boost/test/unit_test.hpp>

#include "persimmonlb/control/controlclient.h"

namespace persimmonlb
{

namespace
{

const HostId a{"a"};
const HostId b{"b"};
const HostId c{"c"};

struct Sent {
    HostId to;
    PeerBody body;
};

struct Bench {
    MonotonicTime now{};
    std::vector<Sent> sent;
    std::set<HostId> unreachable;
    std::vector<Outcome<Reply>> outcomes;
    ControlClient client{ControlClientOptions{.controlHosts = {a, b, c}},
                         Clock{[this] { return now; },
                               [] {
                                   return WallTime();
                               }},
                         [] { return std::uint64_t{0}; },
                         [this](const HostId &to, PeerBody body) {
                             if (unreachable.contains(to)) {
                                 return false;
                             }
                             sent.push_back({to, std::move(body)});
                             return true;
                         }};

    void propose()
    {
        client.propose(SealJob{JobId{"j"}, WallTime()},
                       [this](Outcome<Reply> reply) { outcomes.push_back(std::move(reply)); });
    }
    void pass(Milliseconds time)
    {
        now += time;
        client.tick();
    }
    [[nodiscard]] std::uint64_t lastId() const
    {
        return std::get<ProposeRequest>(sent.back().body).requestId;
    }
    void reply(const HostId &from, ResultCode code, const HostId &leader = HostId())
    {
        client.receive(from,
                       ControlReply{.requestId = lastId(),
                                    .code = code,
                                    .message = "",
                                    .leader = leader,
                                    .payload = encodeReply(PlainReply{})});
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ControlClientTest)

BOOST_AUTO_TEST_CASE(followsTheHintToTheLeader)
{
    Bench bench;
    bench.propose();
    BOOST_TEST((bench.sent.back().to == a));
    bench.reply(a, ResultCode::NotLeader, b);
    BOOST_TEST((bench.sent.back().to == b));
    bench.reply(b, ResultCode::Ok);
    BOOST_REQUIRE(bench.outcomes.size() == 1U);
    BOOST_TEST(bench.outcomes[0].ok());
    bench.propose();
    BOOST_TEST((bench.sent.back().to == b));
}

BOOST_AUTO_TEST_CASE(triesAnotherHostWhenNoneAnswersAndTakesOneAnswerOnly)
{
    Bench bench;
    bench.propose();
    bench.pass(Milliseconds(1000));
    BOOST_REQUIRE(bench.sent.size() == 2U);
    BOOST_TEST((bench.sent[1].to == b));
    bench.reply(b, ResultCode::Ok);
    bench.reply(a, ResultCode::Ok);
    BOOST_TEST(bench.outcomes.size() == 1U);
}

BOOST_AUTO_TEST_CASE(anOutcomeThatIsNotKnownIsNotCalledUnsent)
{
    Bench bench;
    bench.propose();
    for (int i = 0; i < 12; ++i) {
        bench.pass(Milliseconds(1000));
    }
    BOOST_REQUIRE(bench.outcomes.size() == 1U);
    BOOST_TEST((bench.outcomes[0].error().code == ResultCode::NoQuorum));
    BOOST_TEST((bench.outcomes[0].error().runState() == RunState::Unknown));
}

BOOST_AUTO_TEST_CASE(whatWasNeverSentIsReportedAsSuch)
{
    Bench bench;
    bench.unreachable = {a, b, c};
    bench.propose();
    for (int i = 0; i < 12; ++i) {
        bench.pass(Milliseconds(1000));
    }
    BOOST_REQUIRE(bench.outcomes.size() == 1U);
    BOOST_TEST((bench.outcomes[0].error().code == ResultCode::PeerUnreachable));
}

BOOST_AUTO_TEST_CASE(aLostAnswerIsAskedForAgainNotReportedAsFailure)
{
    Bench bench;
    bench.propose();
    bench.reply(a, ResultCode::NoQuorum);
    BOOST_TEST(bench.outcomes.empty());
    bench.pass(Milliseconds(50));
    BOOST_TEST(bench.sent.size() == 2U);
    BOOST_TEST((bench.sent[0].body == bench.sent[1].body));
}

// Guards against a refusal of one copy ("overloaded", not run) while an earlier copy may still be
// applied.
BOOST_AUTO_TEST_CASE(anErrorForOneOfSeveralCopiesDoesNotSayNotRun)
{
    Bench bench;
    bench.propose();
    bench.pass(Milliseconds(1000));
    BOOST_REQUIRE(bench.sent.size() == 2U);
    bench.reply(b, ResultCode::Overloaded);
    BOOST_REQUIRE(bench.outcomes.size() == 1U);
    BOOST_TEST((bench.outcomes[0].error().runState() == RunState::Unknown));
    bench.propose();
    bench.reply(b, ResultCode::Overloaded);
    BOOST_REQUIRE(bench.outcomes.size() == 2U);
    BOOST_TEST((bench.outcomes[1].error().runState() == RunState::NotRun));
}

// Guards against an answer to an earlier process of a host that is taken for one to its successor:
// the request numbers of both began at 1.
BOOST_AUTO_TEST_CASE(ignoresAnAnswerToAnEarlierProcess)
{
    std::vector<std::uint64_t> ids;
    std::vector<Outcome<Reply>> outcomes;
    const auto start = [&](std::uint64_t seed) {
        return ControlClient(
            ControlClientOptions{.controlHosts = {a}},
            Clock{[] { return MonotonicTime(); },
                  [] {
                      return WallTime();
                  }},
            [seed] { return seed; },
            [&](const HostId & /*to*/, const PeerBody &body) {
                ids.push_back(std::get<ProposeRequest>(body).requestId);
                return true;
            });
    };
    const auto done = [&](Outcome<Reply> reply) {
        outcomes.push_back(std::move(reply));
    };
    ControlClient earlier = start(1'000'003);
    ControlClient later = start(7'000'003);
    earlier.propose(SealJob{JobId{"j"}, WallTime()}, done);
    later.propose(SealJob{JobId{"k"}, WallTime()}, done);
    BOOST_REQUIRE(ids.size() == 2U);
    later.receive(a,
                  ControlReply{.requestId = ids[0],
                               .code = ResultCode::Ok,
                               .message = "",
                               .leader = a,
                               .payload = encodeReply(PlainReply{})});
    BOOST_TEST(outcomes.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
