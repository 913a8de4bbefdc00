#include <boost/test/unit_test.hpp>

#include "persimmonlb/relay/eventreader.h"

using namespace persimmonlb;

namespace
{

std::string eventText(int id)
{
    return "id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) + "\n\n";
}

std::string joinedIds(const std::vector<StreamEvent> &events)
{
    std::string ids;
    for (const StreamEvent &event : events) {
        ids += std::to_string(event.id) + " ";
    }
    return ids;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EventReaderTest)

BOOST_AUTO_TEST_CASE(returnsWholeEventsForAnySplitOfTheInput)
{
    const std::string bytes = eventText(1) + "id:2\r\ndata:a\r\ndata: b\r\n\r\n" + eventText(3);
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
        EventReader reader;
        auto events = reader.feed(bytes.substr(0, cut));
        for (StreamEvent &event : reader.feed(bytes.substr(cut))) {
            events.push_back(std::move(event));
        }
        std::string raw;
        for (const StreamEvent &event : events) {
            raw += event.raw;
        }
        BOOST_TEST(raw == bytes);
        BOOST_TEST(events.at(1).data == "a\nb");
        BOOST_TEST(!reader.isInsideEvent());
    }
}

BOOST_AUTO_TEST_CASE(skipsRepeatedEventsAfterReopen)
{
    EventReader reader;
    BOOST_TEST(joinedIds(reader.feed(eventText(1) + eventText(2) + "id: 3\nda")) == "1 2 ");
    BOOST_TEST(reader.isInsideEvent());
    reader.reopen();
    BOOST_TEST(joinedIds(reader.feed(eventText(2) + eventText(3) + eventText(4))) == "3 4 ");
    BOOST_TEST(*reader.lastId() == 4U);
}

BOOST_AUTO_TEST_CASE(breaksWhenAnEventIsMissing)
{
    EventReader reader;
    BOOST_TEST(joinedIds(reader.feed(eventText(1) + eventText(3))) == "1 ");
    BOOST_TEST(reader.isBroken());
    BOOST_TEST(reader.feed(eventText(2)).empty());
}

BOOST_AUTO_TEST_CASE(breaksAndDropsBufferWhenEventExceedsSizeLimit)
{
    EventReader reader;
    BOOST_TEST(joinedIds(reader.feed(eventText(1) + "id: 2\ndata: ")) == "1 ");
    const std::string chunk(16UL * 1024, 'x');
    std::size_t fed = 0;
    while (!reader.isBroken() && fed < 100 * maxEventBytes) {
        BOOST_TEST(reader.feed(chunk).empty());
        fed += chunk.size();
    }
    BOOST_TEST(fed <= maxEventBytes + chunk.size());
    BOOST_TEST(!reader.isInsideEvent());
    reader.reopen();
    BOOST_TEST(joinedIds(reader.feed(eventText(2))) == "2 ");
}

BOOST_AUTO_TEST_CASE(breaksWhenAnEventHasNoId)
{
    EventReader reader;
    BOOST_TEST(reader.feed("data: x\n\n").empty());
    BOOST_TEST(reader.isBroken());
}

BOOST_AUTO_TEST_CASE(continuesAfterGivenEventId)
{
    EventReader reader(7);
    BOOST_TEST(joinedIds(reader.feed(eventText(8) + eventText(9))) == "8 9 ");
}

BOOST_AUTO_TEST_SUITE_END()
