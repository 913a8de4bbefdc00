#include <boost/test/unit_test.hpp>

#include "persimmonlb/base/logline.h"

namespace persimmonlb
{

BOOST_AUTO_TEST_SUITE(LogLineTest)

BOOST_AUTO_TEST_CASE(plainValuesStandBare)
{
    const LogLine line = LogLine(LogLevel::Info, "sheet_accepted").add("number", 12);
    BOOST_TEST(line.text() == "level=info event=sheet_accepted number=12");
}

BOOST_AUTO_TEST_CASE(aValueCannotForgeAnotherPairOrLine)
{
    const LogLine line = LogLine(LogLevel::Warning, "refused").add("why", "a\"b c=d\nx");
    BOOST_TEST(line.text() == R"(level=warning event=refused why="a\"b c=d\x0ax")");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
