#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/base/resultcode.h"

namespace persimmonlb
{

BOOST_AUTO_TEST_SUITE(ResultCodeTest)

BOOST_AUTO_TEST_CASE(tableIsOrderedByUniqueNumber)
{
    const auto codes = allResultCodes();
    const auto outOfOrder = std::ranges::adjacent_find(
        codes, [](const auto &left, const auto &right) { return left.code >= right.code; });
    BOOST_TEST((outOfOrder == codes.end()));
}

BOOST_AUTO_TEST_CASE(everyRowIsFoundByItsNumber)
{
    for (const ResultCodeInfo &row : allResultCodes()) {
        BOOST_TEST(describe(row.code).name == row.name);
        BOOST_TEST((resultCodeFromNumber(static_cast<std::uint16_t>(row.code)) == row.code));
    }
    BOOST_TEST(!resultCodeFromNumber(9999).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
