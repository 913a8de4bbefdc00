#include <fstream>
#include <sstream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "persimmonlb/daemon/settings.h"

namespace persimmonlb
{

namespace
{

const std::string valid = R"([host]
id = "a"
region = "sw-ng"
availability_zone = "ife-a"
roles = ["entry", "control"]
data_folder = "data"
[entry]
listen = "127.0.0.1:8001"
[mesh]
listen = "127.0.0.1:9001"
key_file = "mesh.key"
[[mesh.peer]]
host = "b"
address = "127.0.0.1:9002"
control = true
[keys]
operator_key_file = "operator.key"
backend_key_file = "backend.key"
)";

struct BadSettings {
    std::string from; ///< Text of `valid` to replace.
    std::string to;
    std::string message; ///< Must be part of the error.
};

std::ostream &operator<<(std::ostream &out, const BadSettings &bad)
{
    return out << bad.to;
}

const std::vector<BadSettings> badSettings = {
    {"id = \"a\"", "id = \"a\"\ncolour = 1", "line 3: host.colour: unknown key"},
    {"id = \"a\"", "id = 7", "line 2: host.id: must be a string"},
    {"[mesh]", "answer_ttl_ms = 5\n[mesh]", "entry.answer_ttl_ms: must be 100 to 600000"},
    {"listen = \"127.0.0.1:8001\"", "listen = \"here\"", "entry.listen: must be \"ip:port\""},
    {"id = \"a\"\n", "", "host.id: missing"},
    {"data_folder = \"data\"\n", "", "host.data_folder: missing for the role control"},
    {"\"control\"]", "\"king\"]", "host.roles: unknown role \"king\""},
    {"[keys]", "[[mesh.peer]]\nhost = \"b\"\naddress = \"127.0.0.1:1\"\n[keys]", "\"b\" twice"},
    {"[host]", "[host", "line 1"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsTest)

BOOST_AUTO_TEST_CASE(validSettingsAreReadWithDefaults)
{
    const auto outcome = capture([] { return parseSettings(valid); });
    BOOST_REQUIRE_MESSAGE(outcome.ok(), (outcome.ok() ? "" : outcome.error().message));
    const Settings &settings = outcome.value();
    BOOST_TEST(settings.host.id.value == "a");
    BOOST_TEST(settings.entry.advertise == "127.0.0.1:8001");
    BOOST_TEST(settings.control.lease.count() == 5000);
    BOOST_REQUIRE(settings.mesh.peers.size() == 1);
    BOOST_TEST(settings.mesh.peers.front().control);
}

// Guards against a bound that refuses each request of the largest size for ever.
BOOST_AUTO_TEST_CASE(raisesCallerMemoryToFourLargestBodies)
{
    constexpr std::uint64_t megabyte = 1024ULL * 1024;
    const auto memoryOf = [](const std::string &lines) {
        std::string text = valid;
        text.insert(text.find("[mesh]"), lines);
        const auto outcome = capture([&] { return parseSettings(text); });
        BOOST_REQUIRE(outcome.ok());
        return outcome.value().entry.callerMemoryBytes;
    };
    BOOST_TEST(memoryOf("") == 1024 * megabyte);
    BOOST_TEST(memoryOf("caller_memory_mb = 10\nmax_body_bytes = 1048576\n") == 10 * megabyte);
    BOOST_TEST(memoryOf("caller_memory_mb = 3\nmax_body_bytes = 1048576\n") == 4 * megabyte);
    BOOST_TEST(memoryOf("caller_memory_mb = 0\n") == 0);
}

BOOST_AUTO_TEST_CASE(theExampleIsValid)
{
    std::ifstream file(std::string(PERSIMMONLB_SOURCE_DIR) + "/examples/settings.toml");
    std::ostringstream text;
    text << file.rdbuf();
    const auto outcome = capture([&] { return parseSettings(text.str()); });
    BOOST_TEST(outcome.ok(), (outcome.ok() ? "" : outcome.error().message));
}

BOOST_DATA_TEST_CASE(badSettingsAreNamed, badSettings, bad)
{
    std::string text = valid;
    const auto position = text.find(bad.from);
    BOOST_REQUIRE(position != std::string::npos);
    text.replace(position, bad.from.size(), bad.to);
    const auto outcome = capture([&] { return parseSettings(text); });
    BOOST_REQUIRE(!outcome.ok());
    BOOST_TEST((outcome.error().code == ResultCode::SettingsInvalid));
    BOOST_TEST(outcome.error().message.find(bad.message) != std::string::npos,
               outcome.error().message);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
