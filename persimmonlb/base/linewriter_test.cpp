#include <array>
#include <string>
#include <unistd.h>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/base/linewriter.h"

namespace persimmonlb
{

BOOST_AUTO_TEST_SUITE(LineWriterTest)

namespace
{

struct Pipe {
    Pipe()
    {
        BOOST_REQUIRE(::pipe(ends.data()) == 0);
    }
    ~Pipe()
    {
        ::close(ends[0]);
        closeWriter();
    }
    void closeWriter()
    {
        if (ends[1] >= 0) {
            ::close(ends[1]);
        }
        ends[1] = -1;
    }
    std::string readAll()
    {
        closeWriter();
        std::string text;
        std::array<char, 4096> buffer{};
        ssize_t size = 0;
        while ((size = ::read(ends[0], buffer.data(), buffer.size())) > 0) {
            text.append(buffer.data(), static_cast<std::size_t>(size));
        }
        return text;
    }

    std::array<int, 2> ends{-1, -1};
};

} // namespace

BOOST_AUTO_TEST_CASE(linesLeaveInOrderAndWhole)
{
    Pipe pipe;
    std::string wanted;
    {
        LineWriter writer({.descriptor = pipe.ends[1]});
        for (int i = 0; i < 500; ++i) {
            const std::string line = "line " + std::to_string(i) + "\n";
            wanted += line;
            writer.write(line, false);
        }
    }
    BOOST_TEST(pipe.readAll() == wanted);
}

BOOST_AUTO_TEST_CASE(aReaderThatHasStoppedHoldsUpNobody)
{
    Pipe pipe;
    const std::string line(999, 'x');
    LineWriter writer({.descriptor = pipe.ends[1], .maxWaitingBytes = 100000});
    // Far more than the pipe and the bound hold together: a blocking write would never return.
    for (int i = 0; i < 10000; ++i) {
        writer.write(line + "\n", false);
    }
    BOOST_TEST(writer.dropped() > 9000U);
}

BOOST_AUTO_TEST_CASE(importantLinesHaveRoomOfTheirOwn)
{
    Pipe pipe;
    const std::string line(999, 'x');
    LineWriter writer({.descriptor = pipe.ends[1], .maxWaitingBytes = 400000});
    for (int i = 0; i < 2000; ++i) {
        writer.write(line + "\n", false);
    }
    const std::uint64_t before = writer.dropped();
    BOOST_TEST(before > 0U);
    writer.write("failure\n", true);
    BOOST_TEST(writer.dropped() == before);
}

BOOST_AUTO_TEST_CASE(droppedLinesAreCountedInTheLog)
{
    Pipe pipe;
    {
        LineWriter writer({.descriptor = pipe.ends[1], .maxWaitingBytes = 100});
        writer.write(std::string(200, 'x') + "\n", true);
        writer.write("last\n", true);
    }
    const std::string text = pipe.readAll();
    BOOST_TEST(text.find("last\n") != std::string::npos);
    BOOST_TEST(text.find("event=log_lines_dropped count=1\n") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
