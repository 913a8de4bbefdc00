#include <stdexcept>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/daemon/supervisor.h"

namespace persimmonlb
{

namespace
{

struct Bench {
    MonotonicTime now{};
    std::vector<std::string> events;
    std::string failure;
    bool startFails = false;
    Supervisor supervisor{"root", RestartLimit{2, Milliseconds(1000)},
                          Clock{[this] { return now; },
                                [] {
                                    return WallTime();
                                }},
                          [this](const std::string &why) {
                              failure = why;
                          }};

    void addChild(const std::string &name)
    {
        supervisor.add({name,
                        [this, name]() -> Result<void> {
                            if (startFails) {
                                return fail(ResultCode::AddressInUse, "address in use");
                            }
                            events.push_back("+" + name);
                            return {};
                        },
                        [this, name] {
                            events.push_back("-" + name);
                        }});
    }
    void crash(const std::string &name)
    {
        supervisor.guard(name, [] { throw std::runtime_error("crash"); });
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(SupervisorTest)

BOOST_AUTO_TEST_CASE(aFailedChildIsRestartedAlone)
{
    Bench bench;
    bench.addChild("store");
    bench.addChild("listener");
    BOOST_REQUIRE(capture([&] { return bench.supervisor.startAll(); }).ok());
    bench.crash("store");
    const std::vector<std::string> expected = {"+store", "+listener", "-store", "+store"};
    BOOST_TEST(bench.events == expected, boost::test_tools::per_element());
    BOOST_TEST(bench.failure.empty());
}

BOOST_AUTO_TEST_CASE(pastTheRestartLimitEveryChildIsStoppedAndTheParentTold)
{
    Bench bench;
    bench.addChild("store");
    bench.addChild("listener");
    BOOST_REQUIRE(capture([&] { return bench.supervisor.startAll(); }).ok());
    bench.crash("listener");
    bench.crash("listener");
    BOOST_TEST(bench.failure.empty());
    bench.crash("listener");
    BOOST_TEST(bench.failure.find("listener failed past its restart limit") != std::string::npos);
    BOOST_TEST(!bench.supervisor.running("store"));
}

BOOST_AUTO_TEST_CASE(oldRestartsNoLongerCount)
{
    Bench bench;
    bench.addChild("listener");
    BOOST_REQUIRE(capture([&] { return bench.supervisor.startAll(); }).ok());
    for (int i = 0; i < 10; ++i) {
        bench.crash("listener");
        bench.now += Milliseconds(600);
    }
    BOOST_TEST(bench.failure.empty());
}

BOOST_AUTO_TEST_CASE(aChildThatCannotStartStopsTheOthers)
{
    Bench bench;
    bench.addChild("store");
    bench.supervisor.add({"listener",
                          []() -> Result<void> { return fail(ResultCode::AddressInUse, "in use"); },
                          [] {
                          }});
    const auto outcome = capture([&] { return bench.supervisor.startAll(); });
    BOOST_REQUIRE(!outcome.ok());
    BOOST_TEST((outcome.error().code == ResultCode::AddressInUse));
    BOOST_TEST(!bench.supervisor.running("store"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
