#include <string>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "persimmonlb/http/testing/clientfixture.h"

using namespace persimmonlb;
using namespace persimmonlb::clienttest;

namespace
{

namespace data = boost::unit_test::data;

std::string repeated(int times, const std::string &text)
{
    std::string all;
    for (int i = 0; i < times; ++i) {
        all += text;
    }
    return all;
}

const std::string wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";

/// Ways in which the connection of a response without length ends while its request is long.
struct LongUpload {
    const char *name;
    bool readOn; ///< The server reads the whole request before it ends the connection.
    void (RawPeer::*endConnection)();
    ResultCode code;
};

std::ostream &operator<<(std::ostream &out, const LongUpload &upload)
{
    return out << upload.name;
}

const std::vector<LongUpload> longUploads = {
    {"reset during the upload", false, &RawPeer::reset, ResultCode::StreamBroken},
    {"closed with unread input", false, &RawPeer::close, ResultCode::StreamBroken},
    {"end of file during the upload", false, &RawPeer::closeSending, ResultCode::StreamBroken},
    {"reset after the upload", true, &RawPeer::reset, ResultCode::StreamBroken},
    {"closed after the upload", true, &RawPeer::close, ResultCode::Ok},
};

/// An answer to a test request, of which only its head matters.
Answer failing(const char *name, const std::string &startAndFields)
{
    return {name, startAndFields + "\r\n\r\n3\r\nabc\r\n0\r\n\r\n", true, ResultCode::BackendFailed,
            ""};
}

const std::vector<Answer> framings = {
    {"20 interim", repeated(20, "HTTP/1.1 102 P\r\n\r\n") + wholeAnswer, false, ResultCode::Ok,
     "abc"},
    {"101 interim", repeated(101, "HTTP/1.1 102 P\r\n\r\n") + wholeAnswer, true,
     ResultCode::BackendFailed, ""},
    {"long interim",
     repeated(3, "HTTP/1.1 103 E\r\nA: " + std::string(900, 'a') + "\r\n\r\n") + wholeAnswer, true,
     ResultCode::BackendFailed, ""},
    {"interim with length", "HTTP/1.1 103 E\r\nContent-Length: 42\r\n\r\n" + wholeAnswer, true,
     ResultCode::BackendFailed, ""},
    {"interim with chunks", "HTTP/1.1 103 E\r\nTransfer-Encoding: chunked\r\n\r\n" + wholeAnswer,
     true, ResultCode::BackendFailed, ""},
    failing("two digits", "HTTP/1.1 20 OK"),
    failing("four digits", "HTTP/1.1 2000 OK"),
    failing("sign", "HTTP/1.1 +20 OK"),
    failing("letter", "HTTP/1.1 2x0 OK"),
    failing("two spaces", "HTTP/1.1  200 OK"),
    failing("no space", "HTTP/1.1 200"),
    failing("nothing", "HTTP/1.1"),
    failing("other version", "HTTP/2.0 200 OK"),
    failing("two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4"),
    failing("list of lengths", "HTTP/1.1 200 OK\r\nContent-Length: 3, 4"),
    failing("signed length", "HTTP/1.1 200 OK\r\nContent-Length: +3"),
    failing("negative length", "HTTP/1.1 200 OK\r\nContent-Length: -3"),
    failing("length beyond 64 bits", "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551619"),
    failing("length and chunks",
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked"),
    failing("chunks and length",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3"),
    failing("chunks twice",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked"),
    failing("chunks inside", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip"),
    failing("coded chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked"),
};

/// Responses without a body, and whether the next request may use their connection.
struct Bodyless {
    const char *head;
    bool kept;
};

std::ostream &operator<<(std::ostream &out, const Bodyless &bodyless)
{
    return out << bodyless.head;
}

const std::vector<Bodyless> bodyless = {
    {"HTTP/1.1 204 No Content", true},
    {"HTTP/1.1 304 Not Modified", true},
    {"HTTP/1.1 204 No Content\r\nContent-Length: 0", true},
    {"HTTP/1.1 204 No Content\r\nContent-Length: 3", false},
    {"HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked", false},
    {"HTTP/1.1 304 Not Modified\r\nContent-Length: 3", false},
    {"HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked", false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(ServerResponseTest)

/// Guards against an invalid response that is delivered, and against bytes after one that are
/// taken for the response.
BOOST_DATA_TEST_CASE(invalidResponseIsNotDelivered, data::make(framings), answer)
{
    checkAnswer(answer);
}

/// Guards against a cut response that counts as whole: a failed write of the request takes the
/// error of the connection, and the next read then sees an orderly end of file.
BOOST_DATA_TEST_CASE(responseWithoutLengthIsCutIfItsConnectionEndsDuringTheUpload,
                     data::make(longUploads), upload)
{
    Fixture fixture;
    Recorder recorder;
    constexpr std::size_t size = 64UL * 1024 * 1024; // More than the kernel buffers.
    recorder.exchange
        = fixture.client->start(fixture.server.address(), Fixture::request(std::string(size, 'x')),
                                Milliseconds(0), recorder.hooks());
    RawPeer &peer = fixture.server.connection(0);
    peer.send("HTTP/1.1 200 OK\r\n\r\nabc");
    BOOST_TEST(runUntil(fixture.context, [&] { return recorder.body == "abc"; }));
    if (upload.readOn) {
        BOOST_TEST(runUntil(fixture.context, [&] { return peer.received().size() > size; }));
    }
    (peer.*upload.endConnection)();
    const HttpExchangeEnd end = fixture.endOf(recorder);
    BOOST_TEST((end.code == upload.code), "ended with " << describe(end.code).name);
    BOOST_TEST((end.sendState == SendState::Sent));
    BOOST_TEST(recorder.body == "abc");
}

/// Guards against an error that the kernel reports to nobody, because an end of file came before
/// it.
BOOST_AUTO_TEST_CASE(responseWithoutLengthIsCutIfItsConnectionIsResetAfterItsEnd)
{
    Fixture fixture;
    Recorder recorder;
    fixture.start(recorder);
    RawPeer &peer = fixture.server.connection(0);
    BOOST_TEST(peer.receives("\r\n\r\nhi"));
    peer.send("HTTP/1.1 200 OK\r\n\r\nabc");
    peer.closeSending();
    peer.reset();
    BOOST_TEST((fixture.endOf(recorder).code == ResultCode::StreamBroken));
}

/// Guards against the late body of a response that has none, which is taken for the response to the
/// next request on its connection.
BOOST_DATA_TEST_CASE(connectionIsNotKeptAfterAResponseThatAnnouncesABodyItMustNotHave,
                     data::make(bodyless), response)
{
    Fixture fixture;
    Recorder recorder;
    fixture.start(recorder);
    fixture.server.connection(0).send(std::string(response.head) + "\r\n\r\n");
    BOOST_TEST((fixture.endOf(recorder).code == ResultCode::Ok));
    BOOST_TEST(recorder.body.empty());
    Recorder next;
    fixture.start(next);
    runReady(fixture.context);
    BOOST_TEST(fixture.server.accepted() == (response.kept ? 1U : 2U));
}

BOOST_AUTO_TEST_SUITE_END()
