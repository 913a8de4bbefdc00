#include <array>
#include <ostream>
#include <set>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "persimmonlb/serving/testing/servingbench.h"

namespace persimmonlb
{

std::ostream &operator<<(std::ostream &stream, FakeLog::Fault fault)
{
    return stream << "log fault " << static_cast<int>(fault);
}

namespace
{

namespace data = boost::unit_test::data;

constexpr Milliseconds ownerLease{5000};
constexpr std::array logFaults = {FakeLog::Fault::None, FakeLog::Fault::Unreachable,
                                  FakeLog::Fault::AnswerLost, FakeLog::Fault::Late};
const ClaimKey key{CallerName{"painter"}, "k1"};

using Responders = std::vector<std::shared_ptr<FakeResponder>>;

/// What holds for every answer to requests with one key, however they went.
void checkAnswers(const ServingBench &bench, const Responders &callers)
{
    BOOST_TEST(bench.fleet.runs.size() <= 1U);
    std::set<std::string> answers;
    for (const auto &caller : callers) {
        BOOST_TEST(caller->ends <= 1U);
        if (caller->run() == "not_run") {
            BOOST_TEST(caller->runsAtEnd == 0U);
        }
        if (caller->status == 200) {
            answers.insert(caller->text);
        }
    }
    BOOST_TEST(answers.size() <= 1U);
}

} // namespace

BOOST_AUTO_TEST_SUITE(OnceOnlyTest)

BOOST_DATA_TEST_CASE(aResendAtAnyStepNeverRunsItTwice,
                     data::make(logFaults) * data::make({0, 1})
                         * data::make({0, 3, 8, 12, 40, 64, 70, 3000}),
                     fault, entry, resendMs)
{
    ServingBench bench(2, 3);
    bench.log.fault = fault;
    Responders callers{bench.once(0, "k1")};
    bench.run(Milliseconds(resendMs));
    callers.push_back(bench.once(static_cast<std::size_t>(entry), "k1"));
    bench.run(Milliseconds(30000));
    bench.log.fault = FakeLog::Fault::None;
    bench.run(Milliseconds(30000));
    callers.push_back(bench.once(1, "k1"));
    bench.run(Milliseconds(10000));
    checkAnswers(bench, callers);
    // No server failed: once the log is back, the key has an answer.
    BOOST_TEST(callers.back()->status == 200);
    BOOST_TEST(callers.back()->ends == 1U);
    BOOST_TEST(bench.entries[0]->service.openRequests() == 0U);
    BOOST_TEST(bench.entries[1]->service.openRequests() == 0U);
}

BOOST_DATA_TEST_CASE(anOwnerLostAtAnyStepNeverLetsItRunTwice,
                     data::xrange(0, 90, 3) * data::make({1, 3000, 6000}), diesMs, resendMs)
{
    ServingBench bench(2, 3);
    Responders callers{bench.once(0, "k1")};
    bench.run(Milliseconds(diesMs));
    bench.entries[0]->kill();
    bench.time.after(ownerLease, [&bench] { bench.log.releaseOwner(bench.entries[0]->self); });
    bench.run(Milliseconds(resendMs));
    callers.push_back(bench.once(1, "k1"));
    bench.run(Milliseconds(20000));
    callers.push_back(bench.once(1, "k1"));
    bench.run(Milliseconds(10000));
    checkAnswers(bench, callers);
    BOOST_TEST(callers.back()->ends == 1U);
    // It ran, and a resend is not refused as not run.
    if (bench.fleet.runs.size() == 1 && callers.back()->status != 200) {
        BOOST_TEST(callers.back()->run() == "unknown");
    }
}

BOOST_DATA_TEST_CASE(aServerFailureIsNeverRepeated,
                     data::make({ServerAct::RefusesConnection, ServerAct::BreaksBeforeHead,
                                 ServerAct::BreaksInBody, ServerAct::RefusesNotRun,
                                 ServerAct::Refuses, ServerAct::StaysSilent})
                         * data::make({0, 1}),
                     act, entry)
{
    ServingBench bench(2, 3);
    bench.fleet.acts = {act};
    Responders callers{bench.once(0, "k1")};
    bench.run(Milliseconds(6000));
    callers.push_back(bench.once(static_cast<std::size_t>(entry), "k1"));
    bench.run(Milliseconds(60000));
    callers.push_back(bench.once(1, "k1"));
    bench.run(Milliseconds(10000));
    checkAnswers(bench, callers);
    for (const auto &caller : callers) {
        BOOST_TEST(caller->ends == 1U);
    }
    if (act == ServerAct::RefusesConnection || act == ServerAct::RefusesNotRun) {
        BOOST_TEST(callers.back()->status == 200);
    }
}

BOOST_DATA_TEST_CASE(anAnswerThatCameAfterTheCallerLeftIsRecorded, data::make({false, true}),
                     atDeadline)
{
    ServingBench bench(2, 3);
    const auto first = bench.once(0, "k1", "{}", atDeadline ? "30" : "5000");
    bench.run(Milliseconds(30));
    if (!atDeadline) {
        first->close();
    }
    const auto second = bench.once(1, "k1");
    bench.run(Milliseconds(1000));
    BOOST_TEST(second->status == 200);
    BOOST_TEST(bench.fleet.runs.size() == 1U);
    BOOST_TEST((bench.log.claimState(key) == ClaimState::Answered));
}

BOOST_AUTO_TEST_CASE(theSameKeyWithAnotherBodyIsRefused)
{
    ServingBench bench(2, 3);
    bench.once(0, "k1", R"({"wall":1})");
    bench.run(Milliseconds(1000));
    const auto second = bench.once(1, "k1", R"({"wall":2})");
    bench.run(Milliseconds(1000));
    BOOST_TEST(second->errorCode().value_or(0) == 202);
    BOOST_TEST(bench.fleet.runs.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
