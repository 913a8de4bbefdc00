#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "persimmonlb/membership/server.h"

namespace persimmonlb
{

BOOST_AUTO_TEST_SUITE(ServerTest)

BOOST_AUTO_TEST_CASE(announcementSurvivesItsJson)
{
    const ServerAnnouncement announcement{.server = ServerId{"s1"},
                                          .address = "10.0.0.1:8000",
                                          .availabilityZone = AvailabilityZone{"ife-a"},
                                          .service = ServiceName{"lettering-lm"},
                                          .kind = ServerKind::Plain,
                                          .state = ServerState::Leaving,
                                          .model = ModelName{"m"},
                                          .version = "3",
                                          .adapters = {"a", "b"},
                                          .role = "serve",
                                          .checksFencing = true,
                                          .slots = 8,
                                          .load = {.running = 3, .queued = 1, .kvFree = 0.25},
                                          .incarnation = 1764800000000ULL,
                                          .sequence = 42};
    const auto parsed
        = capture([&] { return parseAnnouncement(formatAnnouncement(announcement)); });
    BOOST_REQUIRE(parsed.ok());
    BOOST_TEST((parsed.value() == announcement));
}

struct BadAnnouncement {
    const char *json;
    const char *message;
};

std::ostream &operator<<(std::ostream &stream, const BadAnnouncement &bad)
{
    return stream << bad.message;
}

const BadAnnouncement badAnnouncements[] = {
    {"[]", "announcement is not a JSON object"},
    {"{", "announcement is not a JSON object"},
    {"{\"server\":\"s\xff\",\"address\":\"1:1\",\"service\":\"x\",\"kind\":\"plain\",\"state\":"
     "\"ready\"}",
     "announcement is not a JSON object"},
    {R"({"address":"1:1"})", "server is missing"},
    {R"({"server":7})", "server is not a string"},
    {R"({"server":"s","address":"1:1","service":"x","kind":"other","state":"ready"})",
     "kind has an unknown value"},
    {R"({"server":"s","address":"1:1","service":"x","kind":"plain","state":"ready",
         "incarnation":1,"sequence":-1})",
     "sequence is not an unsigned integer in range"},
    {R"({"server":"s","address":"1:1","service":"x","kind":"plain","state":"ready",
         "incarnation":1,"sequence":1,"load":{"kv_free":2}})",
     "load.kv_free is not a number from 0 to 1"},
};

BOOST_DATA_TEST_CASE(aBadAnnouncementNamesItsField, boost::unit_test::data::make(badAnnouncements))
{
    const auto parsed = capture([&] { return parseAnnouncement(sample.json); });
    BOOST_REQUIRE(!parsed.ok());
    BOOST_TEST((parsed.error().code == ResultCode::MalformedRequest));
    BOOST_TEST(parsed.error().message == sample.message);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
