#include <boost/test/unit_test.hpp>

#include "persimmonlb/base/error.h"

namespace persimmonlb
{

BOOST_AUTO_TEST_SUITE(ErrorTest)

BOOST_AUTO_TEST_CASE(captureKeepsTheValue)
{
    const Outcome<int> outcome = capture([]() -> Result<int> { return 7; });
    BOOST_REQUIRE(outcome.ok());
    BOOST_TEST(outcome.value() == 7);
}

BOOST_AUTO_TEST_CASE(captureKeepsTheError)
{
    const Outcome<int> outcome
        = capture([]() -> Result<int> { return fail(ResultCode::NotFound, "no job j1"); });
    BOOST_REQUIRE(!outcome.ok());
    BOOST_TEST((outcome.error() == makeError(ResultCode::NotFound, "no job j1")));
}

BOOST_AUTO_TEST_CASE(captureTurnsVoidIntoDone)
{
    const Outcome<Done> outcome = capture([]() -> Result<void> { return {}; });
    BOOST_TEST(outcome.ok());
}

BOOST_AUTO_TEST_CASE(runStateOfTheErrorBeatsThatOfTheCode)
{
    Error error = makeError(ResultCode::BackendFailed, "connection reset");
    BOOST_TEST((error.runState() == RunState::Unknown));
    error.run = RunState::NotRun;
    BOOST_TEST((error.runState() == RunState::NotRun));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
