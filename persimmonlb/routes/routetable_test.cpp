#include <boost/test/unit_test.hpp>

#include "persimmonlb/routes/routetable.h"

using namespace persimmonlb;

namespace
{

Route makeRoute(const std::string &name, const std::string &prefix)
{
    Route route;
    route.name = name;
    route.host = "a.example";
    route.pathPrefix = prefix;
    route.kind = RouteKind::Safe;
    route.timeout = Milliseconds(1000);
    route.services = {{ServiceName{"s"}, 1}};
    return route;
}

Outcome<RouteTable> make(std::vector<Route> routes)
{
    RoutedService service;
    service.name = ServiceName{"s"};
    return capture([&] { return RouteTable::make(3, std::move(routes), {service}, {}); });
}

std::string found(const RouteTable &table, const std::string &host, const std::string &path)
{
    const Route *route = table.find(host, path);
    return route == nullptr ? "" : route->name;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Routes)

BOOST_AUTO_TEST_CASE(LongestPrefixOfTheHostWins)
{
    const auto table
        = make({makeRoute("root", "/"), makeRoute("a", "/a/"), makeRoute("ab", "/a/b/")});
    BOOST_REQUIRE(table.ok());
    BOOST_TEST(found(table.value(), "a.example", "/a/b/c") == "ab");
    BOOST_TEST(found(table.value(), "a.example", "/a/b") == "a");
    BOOST_TEST(found(table.value(), "a.example", "/ab/b") == "root");
    BOOST_TEST(found(table.value(), "b.example", "/a/b/c") == "");
}

BOOST_AUTO_TEST_CASE(RequestOutsideEveryPrefixHasNoRoute)
{
    const auto table = make({makeRoute("a", "/a/")});
    BOOST_REQUIRE(table.ok());
    BOOST_TEST(found(table.value(), "a.example", "/b/") == "");
    BOOST_TEST(found(table.value(), "a.example", "/") == "");
    BOOST_TEST(found(table.value(), "a.example", "") == "");
}

BOOST_AUTO_TEST_CASE(findsCustomerByAnyOfItsKeys)
{
    const std::vector<CustomerEntry> customers
        = {{.customer = {.name = CustomerName{"one"}}, .keys = {"k1", "k2"}},
           {.customer = {.name = CustomerName{"two"}}, .keys = {"k3"}}};
    const auto table = capture([&] { return RouteTable::make(3, {}, {}, {}, customers); });
    BOOST_REQUIRE(table.ok());
    BOOST_REQUIRE(table.value().findCustomer("k2") != nullptr);
    BOOST_TEST(table.value().findCustomer("k2")->name.value == "one");
    BOOST_TEST(table.value().findCustomer("k3")->name.value == "two");
    BOOST_TEST((table.value().findCustomer("k4") == nullptr));
}

// Guards against a key that opens two customers, and against its text in the error.
BOOST_AUTO_TEST_CASE(refusesOneKeyForTwoCustomersWithoutNamingIt)
{
    const std::vector<CustomerEntry> customers
        = {{.customer = {.name = CustomerName{"one"}}, .keys = {"secret"}},
           {.customer = {.name = CustomerName{"two"}}, .keys = {"other", "secret"}}};
    const auto table = capture([&] { return RouteTable::make(3, {}, {}, {}, customers); });
    BOOST_REQUIRE(!table.ok());
    BOOST_TEST((table.error().code == ResultCode::SheetMalformed));
    BOOST_TEST(table.error().message.find("two") != std::string::npos);
    BOOST_TEST(table.error().message.find("secret") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(InvalidTablesAreRefused)
{
    BOOST_TEST(!make({makeRoute("a", "/a/"), makeRoute("b", "/a/")}).ok());
    Route unknown = makeRoute("a", "/a/");
    unknown.services = {{ServiceName{"other"}, 1}};
    BOOST_TEST(!make({unknown}).ok());
    Route weightless = makeRoute("a", "/a/");
    weightless.services = {{ServiceName{"s"}, 0}};
    BOOST_TEST(!make({weightless}).ok());
    Route timeless = makeRoute("a", "/a/");
    timeless.timeout = Milliseconds(0);
    BOOST_TEST(!make({timeless}).ok());
    BOOST_TEST(!make({makeRoute("a", "/a")}).ok());
}

BOOST_AUTO_TEST_CASE(ServicesAreChosenByWeight)
{
    Route route = makeRoute("a", "/a/");
    route.services = {{ServiceName{"x"}, 9}, {ServiceName{"y"}, 1}};
    int ofY = 0;
    for (std::uint64_t draw = 0; draw < 100; ++draw) {
        ofY += chooseService(route, draw) == ServiceName{"y"} ? 1 : 0;
    }
    BOOST_TEST(ofY == 10);
}

BOOST_AUTO_TEST_SUITE_END()
