#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/testing/enginemodel.h"

namespace persimmonlb
{

namespace
{

EngineOptions smallEngine()
{
    EngineOptions options;
    options.slots = 2;
    options.tokenTime = Microseconds(1000);
    options.prefillPerToken = Microseconds(10);
    options.cacheBlocks = 8;
    options.loadLag = Milliseconds(100);
    return options;
}

void ignoreAdmission(EngineRequestId)
{
}

} // namespace

BOOST_AUTO_TEST_SUITE(EngineModelTest)

BOOST_AUTO_TEST_CASE(requestsAreAdmittedInOrderUpToTheSlots)
{
    std::vector<EngineRequestId> admitted;
    EngineModel model(smallEngine(), [&](EngineRequestId id) { admitted.push_back(id); });
    model.submit(1, "", 0, 1);
    model.submit(2, "", 0, 2);
    model.submit(3, "", 0, 1);
    BOOST_TEST((model.beginStep() == Microseconds(1500)));
    BOOST_TEST(admitted == (std::vector<EngineRequestId>{1, 2}));
    const std::vector<EngineToken> first = model.endStep();
    BOOST_TEST((first == std::vector<EngineToken>{{1, 0, true}, {2, 0, false}}));
    model.beginStep();
    const std::vector<EngineToken> second = model.endStep();
    BOOST_TEST((second == std::vector<EngineToken>{{2, 1, true}, {3, 0, true}}));
    BOOST_TEST(model.idle());
    BOOST_TEST(model.counts().maxRunning == 2U);
}

BOOST_AUTO_TEST_CASE(aCancelledRequestGetsNoFurtherTokenAndFreesItsSlot)
{
    EngineModel model(smallEngine(), ignoreAdmission);
    model.submit(1, "", 0, 5);
    model.beginStep();
    BOOST_TEST(model.cancel(1));
    BOOST_TEST(model.endStep().empty());
    BOOST_TEST(model.idle());
    BOOST_TEST(!model.cancel(1));
}

BOOST_AUTO_TEST_CASE(aPromptPrefixThatIsHeldNeedsNoPrefill)
{
    EngineModel model(smallEngine(), ignoreAdmission);
    const std::string prefix(256, 'p'); // 64 tokens in 4 blocks
    model.submit(1, prefix + std::string(64, 'a'), 0, 1);
    BOOST_TEST((model.beginStep() == Microseconds(1000 + 80 * 10)));
    model.endStep();
    model.submit(2, prefix + std::string(64, 'b'), 0, 1);
    BOOST_TEST((model.beginStep() == Microseconds(1000 + 16 * 10)));
    BOOST_TEST(model.counts().cachedTokens == 64U);
}

BOOST_AUTO_TEST_CASE(theCacheForgetsTheBlocksUsedLongestAgo)
{
    PrefixCache cache(2);
    const std::string one(64, '1');
    const std::string two(64, '2');
    const std::string three(64, '3');
    cache.use(one);
    cache.use(two);
    cache.use(one);
    cache.use(three);
    BOOST_TEST(cache.use(one) == 16U);
    BOOST_TEST(cache.use(two) == 0U);
}

BOOST_AUTO_TEST_CASE(loadIsToldLate)
{
    EngineModel model(smallEngine(), ignoreAdmission);
    const MonotonicTime start;
    model.submit(1, "", 0, 5);
    model.sampleLoad(start);
    BOOST_TEST((model.load(start + Milliseconds(99)) == EngineLoad{0, 0}));
    BOOST_TEST((model.load(start + Milliseconds(100)) == EngineLoad{0, 1}));
}

/// Deployment U: a prompt is evicted when the running requests need the memory.
BOOST_AUTO_TEST_CASE(runningRequestsTakeMemoryFromCachedPrompts)
{
    EngineOptions options = smallEngine();
    options.memoryTokens = 128;
    EngineModel model(options, ignoreAdmission);
    const auto run = [&model](EngineRequestId id, const std::string &prompt) {
        model.submit(id, prompt, 0, 1);
        model.beginStep();
        model.endStep();
        return model.counts().cachedTokens;
    };
    const std::string prompt(32 * engineBytesPerToken, 'a');
    run(1, prompt);
    BOOST_TEST(run(2, prompt) == 32U);
    run(3, std::string(112 * engineBytesPerToken, 'b'));
    BOOST_TEST(run(4, prompt) == 32U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
