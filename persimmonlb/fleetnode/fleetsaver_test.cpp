#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/fleetnode/fleetsaver.h"

using namespace persimmonlb;

namespace
{

/// A log that commits when the test says so.
struct Fixture {
    /// Changes what is to be kept and waits for it.
    void change(const std::string &text)
    {
        ++version.first;
        state = text;
        save();
    }
    void save()
    {
        saver.save([this](bool kept) { answers.push_back(kept); });
    }
    void end(std::size_t proposal, bool committed)
    {
        std::exchange(proposals.at(proposal).done, nullptr)(committed);
    }

    struct Proposal {
        std::string text;
        std::function<void(bool)> done;
    };
    SavedVersion version{1, 1};
    std::string state = "first";
    bool commitsAtOnce = false;
    std::vector<Proposal> proposals;
    std::vector<bool> answers;
    FleetSaver saver{
        FleetSaverHooks{.version = [this] { return version; },
                        .encode = [this] { return state; },
                        .propose =
                            [this](std::string text, std::function<void(bool)> done) {
                                proposals.push_back({std::move(text), std::move(done)});
                                if (commitsAtOnce) {
                                    end(proposals.size() - 1, true);
                                }
                            }}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(FleetSaverTest)

/// Guards against an end that is acknowledged before a later leader would know it.
BOOST_AUTO_TEST_CASE(answersOnceTheStateIsCommitted)
{
    Fixture fixture;
    fixture.change("a");
    BOOST_REQUIRE_EQUAL(fixture.proposals.size(), 1U);
    BOOST_TEST(fixture.proposals[0].text == "a");
    BOOST_TEST(fixture.answers.empty());
    fixture.end(0, true);
    BOOST_TEST((fixture.answers == std::vector<bool>{true}));
    // The same state again is there already.
    fixture.save();
    BOOST_TEST(fixture.proposals.size() == 1U);
    BOOST_TEST((fixture.answers == std::vector<bool>{true, true}));
}

/// Guards against an answer to a change that the proposal on its way does not hold.
BOOST_AUTO_TEST_CASE(changesDuringAProposalWaitForTheNextOneTogether)
{
    Fixture fixture;
    fixture.change("a");
    fixture.save();
    fixture.change("b");
    fixture.change("c");
    BOOST_TEST(fixture.proposals.size() == 1U);
    fixture.end(0, true);
    BOOST_TEST((fixture.answers == std::vector<bool>{true, true}));
    BOOST_REQUIRE_EQUAL(fixture.proposals.size(), 2U);
    BOOST_TEST(fixture.proposals[1].text == "c");
    fixture.end(1, true);
    BOOST_TEST((fixture.answers == std::vector<bool>{true, true, true, true}));
}

BOOST_AUTO_TEST_CASE(refusesWhenTheLogDoesAndProposesAgain)
{
    Fixture fixture;
    fixture.change("a");
    fixture.end(0, false);
    BOOST_TEST((fixture.answers == std::vector<bool>{false}));
    fixture.saver.saveChanges();
    BOOST_REQUIRE_EQUAL(fixture.proposals.size(), 2U);
    fixture.end(1, true);
    fixture.saver.saveChanges();
    BOOST_TEST(fixture.proposals.size() == 2U);
}

/// Guards against an answer of a former leadership: what it proposed may be lost, or be overwritten
/// by what the leader between had kept.
BOOST_AUTO_TEST_CASE(losingTheLeadershipRefusesAllThatWait)
{
    Fixture fixture;
    fixture.change("a");
    fixture.change("b");
    fixture.saver.reset();
    BOOST_TEST((fixture.answers == std::vector<bool>{false, false}));
    // Leads again: the end of the old proposal counts no more.
    fixture.save();
    BOOST_REQUIRE_EQUAL(fixture.proposals.size(), 2U);
    fixture.end(0, true);
    BOOST_TEST(fixture.answers.size() == 2U);
    fixture.end(1, true);
    BOOST_TEST((fixture.answers == std::vector<bool>{false, false, true}));
}

/// Guards against a state that is taken for kept since an earlier leadership kept the same one.
BOOST_AUTO_TEST_CASE(keepsTheSameStateAnewForEachLeadership)
{
    Fixture fixture;
    fixture.commitsAtOnce = true;
    fixture.change("a");
    fixture.saver.reset();
    fixture.save();
    BOOST_TEST(fixture.proposals.size() == 2U);
    BOOST_TEST((fixture.answers == std::vector<bool>{true, true}));
}

BOOST_AUTO_TEST_CASE(versionsWithTheSameTextAreNotProposed)
{
    Fixture fixture;
    fixture.commitsAtOnce = true;
    fixture.change("a");
    fixture.change("a");
    BOOST_TEST(fixture.proposals.size() == 1U);
    BOOST_TEST((fixture.answers == std::vector<bool>{true, true}));
}

BOOST_AUTO_TEST_SUITE_END()
