#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/ctl/eventreader.h"

namespace persimmonlb
{

BOOST_AUTO_TEST_SUITE(EventReaderTest)

BOOST_AUTO_TEST_CASE(eventsAreTheSameWhereverTheBytesAreCut)
{
    const std::string stream = "data: one\n\nevent: error\r\ndata: {\"a\":\r\ndata: 1}\r\n\r\n"
                               ": comment\n\ndata: [DONE]\n\n";
    const std::vector<ServerEvent> expected
        = {{"", "one"}, {"error", "{\"a\":\n1}"}, {"", "[DONE]"}};
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        std::vector<ServerEvent> events;
        EventReader reader([&](const ServerEvent &event) { events.push_back(event); });
        reader.feed(std::string_view(stream).substr(0, cut));
        reader.feed(std::string_view(stream).substr(cut));
        BOOST_TEST((events == expected), "cut at " << cut);
    }
}

BOOST_AUTO_TEST_CASE(anUnfinishedEventIsNotGiven)
{
    std::size_t events = 0;
    EventReader reader([&](const ServerEvent &) { ++events; });
    reader.feed("data: half\n");
    BOOST_TEST(events == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
