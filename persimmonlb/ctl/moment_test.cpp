#include <cstdint>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/ctl/moment.h"

namespace persimmonlb
{

namespace
{

constexpr WallTime now{Milliseconds(1796351400000)}; // 2026-12-04T02:30:00Z

std::int64_t millis(const char *text)
{
    const auto moment = parseMoment(text, now);
    return moment ? moment->time_since_epoch().count() : -1;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MomentTest)

BOOST_AUTO_TEST_CASE(everyFormIsUnderstood)
{
    BOOST_TEST(millis("1796351400000") == 1796351400000);
    BOOST_TEST(millis("2026-12-04T02:30:00Z") == 1796351400000);
    BOOST_TEST(millis("2026-12-04T10:30:00.250+08:00") == 1796351400000);
    BOOST_TEST(millis("2026-12-03T22:30:00-04:00") == 1796351400000);
    BOOST_TEST(millis("2026-12-04") == 1796342400000);
    BOOST_TEST(millis("+6h") == 1796351400000 + std::int64_t{6} * 3600000);
    BOOST_TEST(millis("-30m") == 1796351400000 - 1800000);
}

BOOST_AUTO_TEST_CASE(anythingElseIsRefused)
{
    for (const char *text :
         {"", "+", "-", "tomorrow", "+6", "+6w", "+-6h", "2026-13-01", "2026-12-04T02:30:00",
          "2026-12-04T25:00:00Z", "2026-12-04T02:30:00Zx", "2026-12-04T02:30:00+08:00x", "12x"}) {
        BOOST_TEST(millis(text) == -1, text);
    }
}

BOOST_AUTO_TEST_CASE(momentsArePrintedInUtc)
{
    BOOST_TEST(formatMoment(1796351400000) == "2026-12-04 02:30:00");
    BOOST_TEST(formatMoment(0) == "-");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
