#include <memory>
#include <stdexcept>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/http/callermemory.h"

namespace persimmonlb
{

namespace
{

/// Connections that let go of what they hold when they are dropped.
struct Fixture {
    std::vector<CallerMemory::Holder> dropped;
    std::vector<CallerDrop> reasons;
    CallerMemory memory{{.maxBytes = 1000, .dropped = [this](CallerDrop why, std::uint64_t) {
                             reasons.push_back(why);
                         }}};

    CallerMemory::Holder add(const CallerUse &use)
    {
        const auto holder = std::make_shared<CallerMemory::Holder>(0);
        *holder = memory.add([this, holder](CallerDrop) {
            dropped.push_back(*holder);
            memory.remove(*holder);
            memory.relieve();
        });
        memory.set(*holder, use);
        return *holder;
    }
};

CallerUse unfinished(std::uint64_t bytes)
{
    return {.unfinished = bytes, .passedOn = 0, .unread = 0};
}
CallerUse passedOn(std::uint64_t bytes)
{
    return {.unfinished = 0, .passedOn = bytes, .unread = 0};
}
CallerUse unread(std::uint64_t bytes)
{
    return {.unfinished = 0, .passedOn = 0, .unread = bytes};
}

using Holders = std::vector<CallerMemory::Holder>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(callerMemory, Fixture)

BOOST_AUTO_TEST_CASE(dropsNobodyWithinBound)
{
    add(unfinished(400));
    add(unread(300));
    add(passedOn(300));
    memory.relieve();
    BOOST_TEST(dropped.empty());
    BOOST_TEST(memory.totalBytes() == 1000);
}

// Guards against a small request that pays for the large ones: only the largest incomplete one
// goes.
BOOST_AUTO_TEST_CASE(refusesLargestIncompleteRequest)
{
    add(unfinished(300));
    const auto largest = add(unfinished(600));
    add(unfinished(200));
    memory.relieve();
    BOOST_TEST(dropped == Holders{largest}, boost::test_tools::per_element());
    BOOST_CHECK(reasons == std::vector{CallerDrop::Request});
    BOOST_TEST(memory.totalBytes() == 500);
}

// Guards against a broken promise: a request that was passed on may have run and cannot be refused.
BOOST_AUTO_TEST_CASE(refusesNewRequestRatherThanOneThatWasPassedOn)
{
    add(passedOn(1000));
    const auto added = add(unfinished(10));
    memory.relieve();
    BOOST_TEST(dropped == Holders{added}, boost::test_tools::per_element());
    add(passedOn(500));
    memory.relieve();
    BOOST_TEST(dropped.size() == 1);
}

// Guards against callers who send costing others an answer that has begun.
BOOST_AUTO_TEST_CASE(sparesReadersWhoTakeLessThanHalf)
{
    add(unread(500));
    const auto request = add(unfinished(501));
    memory.relieve();
    BOOST_TEST(dropped == Holders{request}, boost::test_tools::per_element());
}

// Guards against slow readers who leave no room for requests.
BOOST_AUTO_TEST_CASE(closesLargestReaderWhenReadersTakeMoreThanHalf)
{
    add(unread(250));
    const auto slowest = add(unread(300));
    add(unfinished(451));
    memory.relieve();
    BOOST_TEST(dropped == Holders{slowest}, boost::test_tools::per_element());
    BOOST_CHECK(reasons == std::vector{CallerDrop::Reader});
}

BOOST_AUTO_TEST_CASE(dropsUntilWithinBound)
{
    for (int i = 0; i < 10; ++i) {
        add(unfinished(300));
    }
    memory.relieve();
    BOOST_TEST(dropped.size() == 7);
    BOOST_TEST(memory.totalBytes() == 900);
}

// Guards against an endless loop over a connection that counts anew after it was dropped.
BOOST_AUTO_TEST_CASE(dropsEachConnectionOnce)
{
    CallerMemory::Holder holder = 0;
    int drops = 0;
    holder = memory.add([&](CallerDrop) {
        ++drops;
        memory.set(holder, unread(2000));
    });
    memory.set(holder, unfinished(2000));
    memory.relieve();
    BOOST_TEST(drops == 1);
    memory.remove(holder);
    BOOST_TEST(memory.totalBytes() == 0);
}

// Guards against an account that drops nobody any more after one hook has thrown.
BOOST_AUTO_TEST_CASE(goesOnDroppingAfterHookThatThrows)
{
    const auto failing = memory.add([](CallerDrop) { throw std::runtime_error("hook"); });
    memory.set(failing, unfinished(2000));
    BOOST_CHECK_THROW(memory.relieve(), std::runtime_error);
    const auto next = add(unfinished(2000));
    memory.relieve();
    BOOST_TEST(dropped == Holders{next}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(dropsNobodyWithoutBound)
{
    CallerMemory unbounded{CallerMemoryOptions{}};
    const auto holder = unbounded.add([](CallerDrop) { BOOST_ERROR("dropped without a bound"); });
    unbounded.set(holder, unfinished(1ULL << 40));
    unbounded.relieve();
    BOOST_TEST(unbounded.totalBytes() == 1ULL << 40);
}

// Guards against an account that counts the bytes on the wire: short fields take many times theirs.
BOOST_AUTO_TEST_CASE(countsWhatFieldsAllocate)
{
    HttpHeaders headers;
    for (int i = 0; i < 100; ++i) {
        headers.fields.push_back({"a", ""});
    }
    BOOST_TEST(fieldArrayBytes(headers) >= 100 * sizeof(HttpHeader));
    BOOST_TEST(heapBytes("a") == 0);
    BOOST_TEST(heapBytes(std::string(100, 'a')) > 100);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
