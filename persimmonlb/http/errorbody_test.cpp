#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "persimmonlb/http/errorbody.h"

namespace persimmonlb
{

BOOST_AUTO_TEST_SUITE(ErrorBodyTest)

BOOST_AUTO_TEST_CASE(refusalCarriesCodeRunStateHostsAndRetryTimeRoundedUp)
{
    Error error = makeError(ResultCode::Draining, "stopping");
    error.retryAfter = Milliseconds(1001);
    const HttpResponse response = errorResponse(error, {"127.0.0.1:1", "127.0.0.1:2"});
    BOOST_TEST(response.status == 503);
    BOOST_TEST(response.headers.find("retry-after") == "2");
    BOOST_TEST(response.headers.find("content-type") == "application/json");
    BOOST_TEST(response.body
               == R"({"error":{"code":305,"name":"draining","message":"stopping",)"
                  R"("run":"not_run","retry_after_ms":1001,)"
                  R"("hosts":["127.0.0.1:1","127.0.0.1:2"]}})");
}

BOOST_AUTO_TEST_CASE(fieldsWithoutMeaningAreLeftOut)
{
    const HttpResponse response = errorResponse(makeError(ResultCode::BackendFailed, "reset"));
    BOOST_TEST(!response.headers.contains("Retry-After"));
    BOOST_TEST(response.body
               == R"({"error":{"code":402,"name":"backend_failed","message":"reset",)"
                  R"("run":"unknown"}})");
}

BOOST_AUTO_TEST_CASE(messageWithForeignBytesStaysValidJson)
{
    const std::string body
        = formatErrorBody(makeError(ResultCode::MalformedRequest, "bad \xff\"\n"));
    const auto json = nlohmann::json::parse(body);
    BOOST_TEST(json["error"]["message"].get<std::string>() == "bad \xef\xbf\xbd\"\n");
}

BOOST_AUTO_TEST_CASE(headersAreFoundWithoutCase)
{
    const HttpHeaders headers{{{"X-One", "1"}, {"x-one", "2"}}};
    BOOST_TEST(headers.find("X-ONE") == "1");
    BOOST_TEST(headers.find("X-On").empty());
    BOOST_TEST(!headers.contains("X-Two"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
