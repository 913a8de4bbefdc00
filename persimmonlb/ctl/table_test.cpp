#include <sstream>
#include <string>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/ctl/table.h"

namespace persimmonlb
{

BOOST_AUTO_TEST_SUITE(TableTest)

BOOST_AUTO_TEST_CASE(columnsAreAlignedAndLinesEndWithoutBlanks)
{
    Table table({"HOST", "ZONE"});
    table.addRow({"entry-1", "ife-a"});
    table.addRow({"e"});
    BOOST_TEST(table.format(terminalColumns) == "HOST     ZONE\nentry-1  ife-a\ne\n");
}

BOOST_AUTO_TEST_CASE(longCellsAreShortenedSoThatEveryLineFits)
{
    Table table({"SEQ", "DETAIL", "WHO"});
    table.addRow({"1", std::string(200, 'd'), std::string(60, 'w')});
    std::istringstream lines(table.format(terminalColumns));
    for (std::string line; std::getline(lines, line);) {
        BOOST_TEST(line.size() <= terminalColumns);
    }
    BOOST_TEST(table.format(terminalColumns).find("d..") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(aCellCannotBreakItsLineOrMoveTheCursor)
{
    Table table({"A"});
    table.addRow({"x\ny\033[2J"});
    BOOST_TEST(table.format(terminalColumns) == "A\nx y [2J\n");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
