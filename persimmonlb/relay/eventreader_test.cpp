#include <boost/test/unit_test.hpp>

#include "persimmonlb/relay/eventreader.h"

using namespace persimmonlb;

namespace
{

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) + "\n\n";
}

std::string joined(const std::vector<StreamEvent> &events)
{
    std::string ids;
    for (const StreamEvent &one : events) {
        ids += std::to_string(one.id) + " ";
    }
    return ids;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EventReaderTest)

BOOST_AUTO_TEST_CASE(EventsPassWholeHoweverTheyAreCut)
{
    const std::string bytes = event(1) + "id:2\r\ndata:a\r\ndata: b\r\n\r\n" + event(3);
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
        EventReader reader;
        auto events = reader.feed(bytes.substr(0, cut));
        for (StreamEvent &later : reader.feed(bytes.substr(cut))) {
            events.push_back(std::move(later));
        }
        std::string raw;
        for (const StreamEvent &one : events) {
            raw += one.raw;
        }
        BOOST_TEST(raw == bytes);
        BOOST_TEST(events.at(1).data == "a\nb");
        BOOST_TEST(!reader.isInsideEvent());
    }
}

BOOST_AUTO_TEST_CASE(ResumedRunGoesOnBehindTheLastEvent)
{
    EventReader reader;
    BOOST_TEST(joined(reader.feed(event(1) + event(2) + "id: 3\nda")) == "1 2 ");
    BOOST_TEST(reader.isInsideEvent());
    reader.reopen();
    BOOST_TEST(joined(reader.feed(event(2) + event(3) + event(4))) == "3 4 ");
    BOOST_TEST(*reader.lastId() == 4U);
}

BOOST_AUTO_TEST_CASE(AMissingEventBreaksTheStream)
{
    EventReader reader;
    BOOST_TEST(joined(reader.feed(event(1) + event(3))) == "1 ");
    BOOST_TEST(reader.isBroken());
    BOOST_TEST(reader.feed(event(2)).empty());
}

BOOST_AUTO_TEST_CASE(AnEventWithoutEndBreaksTheStreamAndIsNotKept)
{
    EventReader reader;
    BOOST_TEST(joined(reader.feed(event(1) + "id: 2\ndata: ")) == "1 ");
    const std::string piece(16UL * 1024, 'x');
    std::size_t fed = 0;
    while (!reader.isBroken() && fed < 100 * maxEventBytes) {
        BOOST_TEST(reader.feed(piece).empty());
        fed += piece.size();
    }
    BOOST_TEST(fed <= maxEventBytes + piece.size());
    BOOST_TEST(!reader.isInsideEvent());
    reader.reopen();
    BOOST_TEST(joined(reader.feed(event(2))) == "2 ");
}

BOOST_AUTO_TEST_CASE(AnEventWithoutIdBreaksTheStream)
{
    EventReader reader;
    BOOST_TEST(reader.feed("data: x\n\n").empty());
    BOOST_TEST(reader.isBroken());
}

BOOST_AUTO_TEST_CASE(ACallerThatResumesGetsOnlyWhatFollows)
{
    EventReader reader(7);
    BOOST_TEST(joined(reader.feed(event(8) + event(9))) == "8 9 ");
}

BOOST_AUTO_TEST_SUITE_END()
