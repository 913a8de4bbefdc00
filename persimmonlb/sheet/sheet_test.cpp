#include <fstream>
#include <iterator>
#include <random>
#include <string>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "persimmonlb/sheet/sheet.h"

namespace persimmonlb
{

BOOST_AUTO_TEST_SUITE(SheetParserTest)

namespace
{

const std::string goodSheet = R"(number = 12

[[service]]
name = "lettering-lm"
kind = "engine"
model = "lettering-7b"
min_ready = 2

[[service]]
name = "booking-app"
kind = "plain"
batch_preset = "throughput"
deadline_ms = 5000

[[model]]
name = "lettering-7b"
version = "2026-11"
adapters = ["market-row"]

[[role]]
server = "gpu-1"
service = "lettering-lm"
role = "serve"

[[quota]]
caller = "shop"
key_digest = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
requests_per_second = 50
burst = 100
weight = 3
)";

std::string messageOf(const std::string &text)
{
    const auto sheet = capture([&] { return parseSheet(text); });
    BOOST_REQUIRE(!sheet.ok());
    BOOST_TEST((sheet.error().code == ResultCode::SheetMalformed));
    return sheet.error().message;
}

std::string replaced(const std::string &from, const std::string &to)
{
    std::string text = goodSheet;
    const auto position = text.find(from);
    BOOST_REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

} // namespace

BOOST_AUTO_TEST_CASE(readsEveryTable)
{
    const auto sheet = capture([] { return parseSheet(goodSheet); });
    BOOST_REQUIRE(sheet.ok());
    BOOST_TEST(sheet.value().number == 12U);
    BOOST_TEST(sheet.value().digest.size() == 64U);
    const SheetService *engine = sheet.value().findService({"lettering-lm"});
    BOOST_REQUIRE(engine != nullptr);
    BOOST_TEST(engine->minReady == 2U);
    BOOST_TEST((engine->model == ModelName{"lettering-7b"}));
    const SheetService *plain = sheet.value().findService({"booking-app"});
    BOOST_REQUIRE(plain != nullptr);
    BOOST_TEST((plain->kind == ServiceKind::Plain));
    BOOST_TEST((plain->batchPreset == BatchPreset::Throughput));
    BOOST_TEST((plain->deadline == Milliseconds(5000)));
    BOOST_TEST(sheet.value().findModel({"lettering-7b"})->adapters.size() == 1U);
    BOOST_TEST(sheet.value().roles.at(0).role == "serve");
    BOOST_TEST(sheet.value().findQuota({"shop"})->weight == 3U);
}

BOOST_AUTO_TEST_CASE(errorsNameLineAndKey)
{
    BOOST_TEST(messageOf(replaced("min_ready = 2", "min_redy = 2"))
               == "line 7: service.min_redy: is not a known key");
    BOOST_TEST(messageOf(replaced("min_ready = 2", "min_ready = -1"))
               == "line 7: service.min_ready: must be an integer from 0 to 100000");
    BOOST_TEST(messageOf(replaced("number = 12", "number = \"12\""))
               == "line 1: number: must be an integer from 1 to 999999999999999");
    BOOST_TEST(messageOf(replaced("burst = 100\n", "")) == "line 25: quota.burst: is missing");
    BOOST_TEST(messageOf(replaced("name = \"booking-app\"", "name = \"lettering-lm\""))
               == "line 9: service: lettering-lm stands twice");
    BOOST_TEST(messageOf(replaced("model = \"lettering-7b\"", "model = \"other\""))
               == "line 3: service.model: no [[model]] is named other");
    BOOST_TEST(messageOf(replaced("service = \"lettering-lm\"", "service = \"none\""))
               == "line 20: role.service: no [[service]] is named none");
    BOOST_TEST(messageOf(replaced("kind = \"plain\"", "kind = \"plane\""))
               == "line 11: service.kind: must be \"engine\" or \"plain\"");
    BOOST_TEST(messageOf("number = \n").starts_with("line "));
}

BOOST_DATA_TEST_CASE(theExampleSheetsCheck,
                     boost::unit_test::data::make({"sheet.toml", "ileoja/sheet.toml",
                                                   "bulag/sheet.toml"}),
                     name)
{
    std::ifstream file(std::string(PERSIMMONLB_SOURCE_DIR) + "/examples/" + name);
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    const auto sheet = capture([&] { return parseSheet(text); });
    BOOST_TEST_REQUIRE(sheet.ok());
    BOOST_TEST(sheet.value().services.size() == 2U);
}

BOOST_AUTO_TEST_CASE(textOnWhichTheLibraryAssertsIsAnErrorLikeAnyOther)
{
    BOOST_TEST(!messageOf("[;").empty());
    BOOST_TEST(!messageOf("a = { b.=1 }").empty());
    BOOST_TEST(!messageOf("a = \v").empty());
}

BOOST_DATA_TEST_CASE(mutatedTextNeverThrows, boost::unit_test::data::xrange(4), round)
{
    const auto seed = static_cast<std::uint32_t>(20261204 + round);
    BOOST_TEST_MESSAGE("seed " << seed);
    std::mt19937 random(seed);
    constexpr std::string_view punctuation = "[]{}=.,#\"'\n\r\t \\-+_:0eE";
    for (int trial = 0; trial < 400; ++trial) {
        std::string text = goodSheet;
        for (std::uint32_t mutation = 0; mutation < 1 + random() % 4; ++mutation) {
            const std::size_t position = random() % text.size();
            const char byte = random() % 2 == 0 ? static_cast<char>(random())
                                                : punctuation[random() % punctuation.size()];
            text.replace(position, random() % 2, 1, byte);
        }
        BOOST_CHECK_NO_THROW((void)capture([&] { return parseSheet(text); }).ok());
    }
    BOOST_TEST(!capture([] { return parseSheet("a = " + std::string(100'000, '[')); }).ok());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
