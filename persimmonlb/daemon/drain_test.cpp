#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/daemon/drain.h"

namespace persimmonlb
{

namespace
{

struct Bench {
    MonotonicTime now{};
    bool known = false;
    bool idle = false;
    std::vector<std::string> events;
    Drain drain{Milliseconds(5000),
                Clock{[this] { return now; },
                      [] {
                          return WallTime();
                      }},
                DrainHooks{.withdraw = [this] { events.push_back("withdraw"); },
                           .restore = [this] { events.push_back("restore"); },
                           .withdrawalKnown = [this] { return known; },
                           .close = [this] { events.push_back("close"); },
                           .idle = [this] { return idle; },
                           .stopped =
                               [this] {
                                   events.push_back("stopped");
                               }}};

    void pass(Milliseconds time)
    {
        drain.tick();
        now += time;
        drain.tick();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(DrainTest)

BOOST_AUTO_TEST_CASE(acceptsUntilEveryAnswerThatNamedItHasExpired)
{
    Bench bench;
    bench.drain.begin();
    bench.pass(Milliseconds(60000));
    BOOST_TEST((bench.drain.stage() == DrainStage::Withdrawn));
    bench.known = true;
    bench.pass(Milliseconds(4999));
    BOOST_TEST((bench.drain.stage() == DrainStage::Withdrawn));
    bench.pass(Milliseconds(1));
    BOOST_TEST((bench.drain.stage() == DrainStage::Closing));
}

BOOST_AUTO_TEST_CASE(stopsOnlyOnceNothingIsLeft)
{
    Bench bench;
    bench.known = true;
    bench.drain.begin();
    bench.pass(Milliseconds(5000));
    bench.pass(Milliseconds(600000));
    BOOST_TEST((bench.drain.stage() == DrainStage::Closing));
    bench.idle = true;
    bench.drain.tick();
    BOOST_TEST((bench.drain.stage() == DrainStage::Stopped));
    const std::vector<std::string> expected = {"withdraw", "close", "stopped"};
    BOOST_TEST(bench.events == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(undoServesAgainButNotAfterClosing)
{
    Bench bench;
    bench.known = true;
    bench.drain.begin();
    bench.drain.undo();
    BOOST_TEST((bench.drain.stage() == DrainStage::Serving));
    bench.drain.begin();
    bench.pass(Milliseconds(5000));
    bench.drain.undo();
    BOOST_TEST((bench.drain.stage() == DrainStage::Closing));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
