#include <string>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "persimmonlb/testing/answercheck.h"
#include "persimmonlb/testing/arrivals.h"
#include "persimmonlb/testing/experiment.h"
#include "persimmonlb/testing/fakeanswer.h"
#include "persimmonlb/testing/latency.h"
#include "persimmonlb/testing/report.h"
#include "persimmonlb/testing/workload.h"

namespace persimmonlb
{

namespace
{

std::string tokenEvent(const std::string &id, std::uint32_t index, std::uint64_t key)
{
    const nlohmann::json json{{"id", id},
                              {"index", index},
                              {"choices", {{{"delta", {{"content", answerToken(key, index)}}}}}}};
    return "data: " + json.dump() + "\n\n";
}

const std::string done = "data: [DONE]\n\n";

AnswerVerdict verdictOf(const std::string &stream)
{
    StreamCheck check(7, 3);
    check.feed(stream);
    return check.verdict();
}

std::uint64_t arrivalsWithin(ArrivalRate rate, Microseconds length)
{
    PoissonArrivals arrivals(rate, seededRandom(5));
    std::uint64_t count = 0;
    while (arrivals.next() < length) {
        ++count;
    }
    return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LoadToolTest)

BOOST_AUTO_TEST_CASE(arrivalsFollowTheSeedAndTheRate)
{
    PoissonArrivals one({.perSecond = 100}, seededRandom(3));
    PoissonArrivals same({.perSecond = 100}, seededRandom(3));
    PoissonArrivals other({.perSecond = 100}, seededRandom(4));
    const Microseconds first = one.next();
    BOOST_TEST((first == same.next()));
    BOOST_TEST((first != other.next()));
    const std::uint64_t count = arrivalsWithin({.perSecond = 100}, std::chrono::seconds(100));
    // Ten thousand are expected; four standard deviations are four hundred.
    BOOST_TEST(count > 9600U);
    BOOST_TEST(count < 10400U);
}

BOOST_AUTO_TEST_CASE(arrivalsAreDenserWithinBursts)
{
    const ArrivalRate rate{.perSecond = 50,
                           .burstEvery = std::chrono::seconds(10),
                           .burstLength = std::chrono::seconds(2),
                           .burstFactor = 5};
    PoissonArrivals arrivals(rate, seededRandom(5));
    std::uint64_t inBursts = 0;
    std::uint64_t between = 0;
    for (Microseconds at = arrivals.next(); at < std::chrono::seconds(200); at = arrivals.next()) {
        const bool burst = at % std::chrono::seconds(10) < std::chrono::seconds(2);
        ++(burst ? inBursts : between);
    }
    // 40 s at 250 a second and 160 s at 50 a second.
    BOOST_TEST(inBursts > 9600U);
    BOOST_TEST(inBursts < 10400U);
    BOOST_TEST(between > 7600U);
    BOOST_TEST(between < 8400U);
}

BOOST_AUTO_TEST_CASE(noRateMeansNoArrival)
{
    PoissonArrivals arrivals({.perSecond = 0}, seededRandom(1));
    BOOST_TEST((arrivals.next() == Microseconds::max()));
}

BOOST_AUTO_TEST_CASE(percentilesAreExactWithinOnePercent)
{
    LatencyHistogram latency;
    for (int milliseconds = 1; milliseconds <= 1000; ++milliseconds) {
        latency.add(Milliseconds(milliseconds));
    }
    BOOST_TEST(latency.quantileMs(0.5) == 500, boost::test_tools::tolerance(0.01));
    BOOST_TEST(latency.quantileMs(0.99) == 990, boost::test_tools::tolerance(0.01));
    BOOST_TEST(latency.quantileMs(1) == 1000, boost::test_tools::tolerance(0.01));
    BOOST_TEST(latency.maximumMs() == 1000);
}

BOOST_AUTO_TEST_CASE(valuesBeyondTheRangeAreNotLost)
{
    LatencyHistogram latency;
    BOOST_TEST(latency.quantileMs(0.99) == 0);
    latency.add(Microseconds(0));
    latency.add(std::chrono::hours(1));
    BOOST_TEST(latency.count() == 2U);
    BOOST_TEST(latency.quantileMs(1) == 600000, boost::test_tools::tolerance(0.02));
}

BOOST_AUTO_TEST_CASE(aWholeAnswerIsToldFromEveryOther)
{
    const std::string zero = tokenEvent("r", 0, 7);
    const std::string one = tokenEvent("r", 1, 7);
    const std::string two = tokenEvent("r", 2, 7);
    BOOST_TEST((verdictOf(zero + one + two + done) == AnswerVerdict::Whole));
    BOOST_TEST((verdictOf(zero + one + two) == AnswerVerdict::Short));
    BOOST_TEST((verdictOf(zero + one + done) == AnswerVerdict::Wrong));
    BOOST_TEST((verdictOf(zero + one + one + done) == AnswerVerdict::Wrong));
    BOOST_TEST((verdictOf(one + zero + two + done) == AnswerVerdict::Wrong));
    BOOST_TEST((verdictOf(zero + tokenEvent("r", 1, 8) + two + done) == AnswerVerdict::Wrong));
    BOOST_TEST((verdictOf(zero + tokenEvent("s", 1, 7) + two + done) == AnswerVerdict::Wrong));
    BOOST_TEST((verdictOf(zero + one + two + done + zero) == AnswerVerdict::Wrong));
    BOOST_TEST((verdictOf(zero + "event: error\ndata: {\"error\":{\"code\":404}}\n\n")
                == AnswerVerdict::Refused));
}

BOOST_AUTO_TEST_CASE(requestsOfOneGroupShareTheirPrefixOnly)
{
    const ChatShape shape{{4, 4}, {64, 64}, 1, 256};
    const RandomSource random = seededRandom(9);
    const ChatCall one = makeChatCall("lm", shape, true, random);
    const ChatCall two = makeChatCall("lm", shape, true, random);
    const std::string promptOne = parseChatRequest(one.body).prompt;
    const std::string promptTwo = parseChatRequest(two.body).prompt;
    BOOST_TEST(promptOne.substr(0, 256) == promptTwo.substr(0, 256));
    BOOST_TEST(one.answerKey != two.answerKey);
}

BOOST_AUTO_TEST_CASE(theReportNamesHarmAndShareOfIdleCapacity)
{
    PhaseReport alone;
    alone.name = "online";
    alone.measuredSeconds = 10;
    alone.online.offered = 1;
    alone.online.firstToken.add(Milliseconds(100));
    PhaseReport capacity;
    capacity.name = "batch";
    capacity.measuredSeconds = 10;
    capacity.batch.items = 100;
    capacity.batch.tokensWhileMeasured = 10000;
    PhaseReport mixed;
    mixed.name = "mixed";
    mixed.against = "online";
    mixed.capacity = "batch";
    mixed.measuredSeconds = 10;
    mixed.online.offered = 1;
    mixed.online.tokens = 4000;
    mixed.online.firstToken.add(Milliseconds(150));
    mixed.batch.tokensWhileMeasured = 3000;
    const PhaseRatios ratios = ratiosOf(mixed, &alone, &capacity);
    BOOST_TEST(ratios.firstTokenP99 == 1.5, boost::test_tools::tolerance(0.02));
    BOOST_TEST(ratios.batchOfIdle == 0.5, boost::test_tools::tolerance(0.001));
    BOOST_TEST(ratios.betweenTokensP99 == 0);
    const auto json = nlohmann::json::parse(formatReport({}, {&alone, &capacity, &mixed}));
    BOOST_TEST(json["phases"].size() == 3U);
    BOOST_TEST(json["phases"][2]["ratios"]["batch_of_idle"].get<double>() == 0.5);
}

BOOST_AUTO_TEST_CASE(anExperimentFileIsReadWhole)
{
    const auto experiment = capture([] {
        return parseExperiment("seed = 4\n[[phase]]\nname = \"mixed\"\nlength = 20\nwarmup = 3\n"
                               "against = \"online\"\nlose_server_after = 5\n[phase.online]\n"
                               "service = \"lm\"\nrate = 40\nburst_every = 5\nburst_length = 0.5\n"
                               "burst_factor = 3\ntokens = [8, 32]\nprompt_bytes = 200\n"
                               "[phase.batch]\nservice = \"lm\"\nitems = 500\n");
    });
    BOOST_REQUIRE(experiment.ok());
    const Phase &phase = experiment.value().phases.at(0);
    BOOST_TEST((phase.online->rate.burstLength == Milliseconds(500)));
    BOOST_TEST((phase.online->shape.tokens == NumberRange{8, 32}));
    BOOST_TEST((phase.online->shape.promptBytes == NumberRange{200, 200}));
    BOOST_TEST(phase.batch->items == 500U);
    BOOST_TEST((phase.loseServerAfter == Milliseconds(5000)));
}

const std::vector<std::string> wrongExperiments = {
    "seed = 1\n",
    "[[phase]]\nlength = 3\n",
    "[[phase]]\nname = \"a\"\nlength = 2\nwarmup = 2\n",
    "[[phase]]\nname = \"a\"\n[phase.online]\nrat = 4\n",
    "[[phase]]\nname = \"a\"\n[phase.online]\nrate = \"4\"\n",
    "[[phase]]\nname = \"a\"\n[phase.online]\ntokens = [4, 2]\n",
};

BOOST_DATA_TEST_CASE(aWrongExperimentNamesItsLine,
                     boost::unit_test::data::xrange(wrongExperiments.size()))
{
    const auto experiment = capture([&] { return parseExperiment(wrongExperiments[sample]); });
    BOOST_REQUIRE(!experiment.ok());
    BOOST_TEST(experiment.error().message.starts_with("line "));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
