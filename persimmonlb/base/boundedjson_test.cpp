#include <string>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "persimmonlb/base/boundedjson.h"

using namespace persimmonlb;

namespace
{

/// An array of `count` times the same text.
std::string arrayOf(std::size_t count, const std::string &element)
{
    std::string text = "[";
    for (std::size_t i = 0; i < count; ++i) {
        text += (i == 0 ? "" : ",") + element;
    }
    return text + "]";
}

} // namespace

BOOST_AUTO_TEST_SUITE(BoundedJsonTest)

// Guards against documents whose values take many times the memory of their text.
BOOST_AUTO_TEST_CASE(discardsDocumentsWithTooManyValues)
{
    constexpr std::size_t maxValues = 1000;
    for (const char *element : {"0", "[]", "{}", "null", "\"\"", "1.5", "true", "-1"}) {
        // The array itself is a value.
        BOOST_TEST(!parseBoundedJson(arrayOf(maxValues - 1, element), maxValues).is_discarded(),
                   element);
        BOOST_TEST(parseBoundedJson(arrayOf(maxValues, element), maxValues).is_discarded(),
                   element);
    }
}

BOOST_AUTO_TEST_CASE(countsNamesOfMembers)
{
    const std::string text = arrayOf(10, R"({"a":0})");
    BOOST_TEST(!parseBoundedJson(text, 31).is_discarded());
    BOOST_TEST(parseBoundedJson(text, 30).is_discarded());
}

BOOST_AUTO_TEST_CASE(discardsDeepNestingAndTextThatIsNotJson)
{
    constexpr std::size_t depth = 2000000;
    BOOST_TEST(parseBoundedJson(std::string(depth, '[')).is_discarded());
    BOOST_TEST(parseBoundedJson("[1,").is_discarded());
    BOOST_TEST(parseBoundedJson("").is_discarded());
}

BOOST_AUTO_TEST_CASE(readsWhatIsWithinTheBound)
{
    // Long enough to be counted first.
    const std::string text = R"({"body":")" + std::string(3 * maxJsonValues, 'x') + R"(","n":7})";
    const nlohmann::json json = parseBoundedJson(text);
    BOOST_TEST(json["n"].get<int>() == 7);
}

BOOST_AUTO_TEST_SUITE_END()
