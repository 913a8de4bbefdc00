#include <string>
#include <variant>
#include <vector>

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "persimmonlb/ctl/options.h"

namespace persimmonlb
{

namespace
{

std::variant<CtlOptions, UsageError, HelpWanted> parse(std::vector<std::string> arguments)
{
    return parseOptions(std::move(arguments), "10.0.0.1:80,10.0.0.2:80");
}

const std::vector<std::vector<std::string>> wrongLines = {
    {},
    {"sheet", "status", "--no-such-option"},
    {"sheet", "status", "--timeout", "soon"},
    {"sheet", "status", "--timeout", "0"},
    {"sheet", "status", "--host"},
    {"sheet", "status", "--json", "--json"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(OptionsTest)

BOOST_AUTO_TEST_CASE(optionsStandBeforeBetweenAndAfterTheWords)
{
    const auto parsed
        = parse({"--json", "job", "--service", "lm", "submit", "f.jsonl", "--due", "-30m"});
    BOOST_REQUIRE(std::holds_alternative<CtlOptions>(parsed));
    const auto &options = std::get<CtlOptions>(parsed);
    BOOST_TEST(options.words == (std::vector<std::string>{"job", "submit", "f.jsonl"}));
    BOOST_TEST(options.json);
    BOOST_TEST(options.service == "lm");
    BOOST_TEST(options.due == "-30m");
    BOOST_TEST(options.hosts == (std::vector<std::string>{"10.0.0.1:80", "10.0.0.2:80"}));
}

BOOST_AUTO_TEST_CASE(hostsOnTheLineReplaceThoseOfTheEnvironment)
{
    const auto parsed = parse({"--host", "10.9.9.9:80", "host", "list"});
    BOOST_REQUIRE(std::holds_alternative<CtlOptions>(parsed));
    BOOST_TEST(std::get<CtlOptions>(parsed).hosts == (std::vector<std::string>{"10.9.9.9:80"}));
}

BOOST_DATA_TEST_CASE(aWrongLineIsAUsageError, boost::unit_test::data::xrange(wrongLines.size()))
{
    BOOST_TEST(std::holds_alternative<UsageError>(parse(wrongLines[sample])));
}

BOOST_AUTO_TEST_CASE(helpIsGivenWhateverElseIsOnTheLine)
{
    BOOST_TEST(std::holds_alternative<HelpWanted>(parse({"--no-such", "--help"})));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
