#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "persimmonlb/state/testing/stateharness.h"

/// Fault x step x promise over one story of two entry hosts, two operators, two jobs and two
/// claims. Every case runs the whole story with one fault at one step, lets a host finish what is
/// left, and checks one promise.
namespace persimmonlb
{

BOOST_AUTO_TEST_SUITE(StateFaultMatrix)

namespace
{

using testing::StateHarness;

enum class Fault : std::uint8_t {
    None,
    DoubledAtOnce,
    DoubledThreeStepsLater,
    DoubledAtTheEnd,
    Restarted,
    ReplayedFromTheLog,
    OwnerFrozen, ///< Its lease lapses, it is released, and it goes on afterwards.
    OwnerRestarted, ///< A later incarnation registers; the earlier one goes on.
    SecondOwner, ///< The other host leases and completes at the same moment.
    FrozenTwiceAndRestarted,
};

std::ostream &operator<<(std::ostream &stream, Fault fault)
{
    return stream << static_cast<int>(fault);
}

const Owner hostA{.host = {"a"}, .incarnation = 1};
const Owner hostB{.host = {"b"}, .incarnation = 1};
const ServiceName service{"lettering-lm"};
const JobId kept{"kept"};
const JobId cancelled{"cancelled"};
constexpr std::uint32_t keptItems = 6;
constexpr std::uint32_t cancelledItems = 4;

std::string sheetText(int number, const std::string &comment)
{
    return "number = " + std::to_string(number) + " # " + comment
        + "\n[[service]]\nname = \"lettering-lm\"\nkind = \"plain\"\nmax_batch_attempts = 2\n";
}

class Story
{
public:
    Story(Fault fault, int faultStep)
        : fault_(fault)
        , faultStep_(faultStep)
    {
    }

    void run();

    StateHarness harness;
    std::map<std::string, std::set<std::string>> mayHaveSent; ///< Claim key to requests granted.
    std::vector<JobId> leasedAfterCancel;
    std::vector<SheetReply> sheetReplies;
    std::vector<std::uint64_t> numbersInForce;
    std::map<std::string, std::uint64_t> auditExpected;
    int steps = 0;

    [[nodiscard]] ResultsAnswer results(const JobId &job) const
    {
        return harness.ask<ResultsAnswer>(ResultsQuery{.id = job, .firstIndex = 0, .limit = 100});
    }

private:
    Reply issue(const Command &command);
    Reply apply(const Command &command);
    void injectBefore();
    void injectAfter(const Command &command);
    void release(const Owner &owner);
    std::vector<LeasedItem> lease(const Owner &owner, std::uint32_t items, bool asStep);
    void complete(const Owner &owner, const std::vector<LeasedItem> &items,
                  const std::vector<ItemOutcomeKind> &kinds, bool asStep);
    void claim(const std::string &key, const Owner &owner, const std::string &request);
    void outcome(const std::string &key, const Owner &owner, const std::string &request,
                 ClaimState state);
    void submit(const JobId &job, std::uint32_t items);
    void observe(const Command &command, const Reply &reply);
    void replay();

    WallTime now()
    {
        clock_ += Milliseconds(1000);
        return clock_;
    }

    Fault fault_;
    int faultStep_;
    WallTime clock_{Milliseconds(1'796'299'200'000)};
    std::uint64_t sequence_ = 0;
    bool cancelAnswered_ = false;
    std::vector<Command> log_;
    std::vector<std::pair<int, Command>> delayed_;
};

Reply Story::apply(const Command &command)
{
    log_.push_back(command);
    Reply reply = harness.applyAny(command);
    observe(command, reply);
    return reply;
}

void Story::observe(const Command &command, const Reply &reply)
{
    numbersInForce.push_back(harness.state().sheetNumber());
    if (std::holds_alternative<ApplySheet>(command)) {
        sheetReplies.push_back(std::get<SheetReply>(reply));
        ++auditExpected["sheet"];
    }
    if (std::holds_alternative<CancelJob>(command)) {
        cancelAnswered_ = true;
        ++auditExpected["cancel"];
    }
    if (std::holds_alternative<ReserveFencing>(command)) {
        ++auditExpected["order"];
    }
    if (const auto *job = std::get_if<JobReply>(&reply);
        job != nullptr && !std::holds_alternative<AddItems>(command) && !job->existed) {
        ++auditExpected["job"];
    }
    if (const auto *leased = std::get_if<LeaseReply>(&reply)) {
        for (const LeasedItem &item : leased->items) {
            if (cancelAnswered_ && item.job == cancelled) {
                leasedAfterCancel.push_back(item.job);
            }
        }
    }
    const auto *claimed = std::get_if<ClaimReply>(&reply);
    if (const auto *request = std::get_if<ClaimRequest>(&command);
        request != nullptr && claimed->state == ClaimState::Granted) {
        mayHaveSent[request->key.idempotencyKey].insert(request->requestId);
    }
    if (const auto *record = std::get_if<RecordOutcome>(&command); record != nullptr
        && record->state == ClaimState::NotSent && claimed->state == ClaimState::NotSent) {
        mayHaveSent[record->key.idempotencyKey].erase(record->requestId);
    }
}

void Story::release(const Owner &owner)
{
    apply(ReleaseOwner{.owner = owner, .at = now()});
}

/// Starts from nothing and applies the log again.
void Story::replay()
{
    harness.store.content.clear();
    harness.restart();
    for (const Command &command : log_) {
        harness.applyAny(command);
    }
}

void Story::injectBefore()
{
    switch (fault_) {
    case Fault::Restarted:
        harness.restart();
        break;
    case Fault::ReplayedFromTheLog:
        replay();
        break;
    case Fault::OwnerFrozen:
        release(hostA);
        break;
    case Fault::OwnerRestarted:
        apply(RegisterHost{.owner = {.host = hostA.host, .incarnation = 2},
                           .address = "10.0.0.1:1",
                           .availabilityZone = {"ife-a"},
                           .region = {"sw-ng"},
                           .at = now()});
        break;
    case Fault::SecondOwner:
        complete(hostB, lease(hostB, 2, false), {ItemOutcomeKind::Succeeded}, false);
        break;
    case Fault::FrozenTwiceAndRestarted:
        release(hostA);
        release(hostB);
        harness.restart();
        break;
    default:
        break;
    }
}

void Story::injectAfter(const Command &command)
{
    constexpr int laterSteps = 3;
    constexpr int atTheEnd = 1000;
    if (fault_ == Fault::DoubledAtOnce) {
        apply(command);
    } else if (fault_ == Fault::DoubledThreeStepsLater) {
        delayed_.emplace_back(steps + laterSteps, command);
    } else if (fault_ == Fault::DoubledAtTheEnd) {
        delayed_.emplace_back(atTheEnd, command);
    }
}

Reply Story::issue(const Command &command)
{
    ++steps;
    if (steps == faultStep_) {
        injectBefore();
    }
    Reply reply = apply(command);
    if (steps == faultStep_) {
        injectAfter(command);
    }
    for (const auto &[due, late] : delayed_) {
        if (due == steps) {
            apply(late);
        }
    }
    return reply;
}

std::vector<LeasedItem> Story::lease(const Owner &owner, std::uint32_t items, bool asStep)
{
    ++sequence_;
    const LeaseItems command{
        .owner = owner, .sequence = sequence_, .service = service, .maxItems = items, .at = now()};
    return std::get<LeaseReply>(asStep ? issue(command) : apply(command)).items;
}

void Story::complete(const Owner &owner, const std::vector<LeasedItem> &items,
                     const std::vector<ItemOutcomeKind> &kinds, bool asStep)
{
    CompleteItems command{.owner = owner, .outcomes = {}, .at = now()};
    for (std::size_t i = 0; i < items.size(); ++i) {
        command.outcomes.push_back({.job = items[i].job,
                                    .index = items[i].index,
                                    .attempt = items[i].attempt,
                                    .kind = kinds[i % kinds.size()],
                                    .status = 200,
                                    .body = owner.host.value + std::to_string(items[i].attempt)});
    }
    asStep ? issue(command) : apply(command);
}

void Story::claim(const std::string &key, const Owner &owner, const std::string &request)
{
    issue(ClaimRequest{.key = {.caller = {"shop"}, .idempotencyKey = key},
                       .service = {"booking-app"},
                       .bodyDigest = "d",
                       .owner = owner,
                       .requestId = request,
                       .at = now()});
}

void Story::outcome(const std::string &key, const Owner &owner, const std::string &request,
                    ClaimState state)
{
    issue(RecordOutcome{.key = {.caller = {"shop"}, .idempotencyKey = key},
                        .owner = owner,
                        .requestId = request,
                        .state = state,
                        .answer = {.status = 200, .contentType = "t", .body = request},
                        .at = now()});
}

void Story::submit(const JobId &job, std::uint32_t items)
{
    issue(OpenJob{.id = job,
                  .caller = {"shop"},
                  .idempotencyKey = "key of " + job.value,
                  .service = service,
                  .due = clock_ + Milliseconds(3'600'000),
                  .itemCount = items,
                  .bodyDigest = "d",
                  .at = now()});
    for (std::uint32_t index = 0; index < items; index += 3) {
        AddItems command{.id = job, .firstIndex = index, .items = {}};
        for (std::uint32_t i = index; i < std::min(index + 3, items); ++i) {
            command.items.push_back(
                {.customId = std::to_string(i), .idempotent = i != 1, .body = "{}"});
        }
        issue(command);
    }
    issue(SealJob{.id = job, .at = now()});
}

void Story::run()
{
    using enum ItemOutcomeKind;
    for (const Owner &owner : {hostA, hostB}) {
        issue(RegisterHost{.owner = owner,
                           .address = "10.0.0.1:1",
                           .availabilityZone = {"ife-a"},
                           .region = {"sw-ng"},
                           .at = now()});
    }
    issue(ApplySheet{.text = sheetText(5, "ada"), .by = {"ada"}, .at = now()});
    issue(ApplySheet{.text = sheetText(5, "obi"), .by = {"obi"}, .at = now()});
    issue(ApplySheet{.text = sheetText(4, "late"), .by = {"obi"}, .at = now()});
    submit(kept, keptItems);
    submit(cancelled, cancelledItems);
    const auto ofA = lease(hostA, 8, true);
    const auto ofB = lease(hostB, 1, true);
    complete(hostA, ofA, {Succeeded, Failed, Rejected, NotRun}, true);
    issue(CancelJob{.id = cancelled, .caller = {"shop"}, .by = "shop", .at = now()});
    complete(hostB, ofB, {Succeeded}, true);
    claim("k1", hostA, "r1");
    claim("k1", hostB, "r2");
    outcome("k1", hostA, "r1", ClaimState::Answered);
    claim("k2", hostB, "r3");
    outcome("k2", hostB, "r3", ClaimState::NotSent);
    claim("k2", hostA, "r4");
    const auto late = lease(hostA, 8, true);
    issue(ReleaseOwner{.owner = hostA, .at = now()});
    complete(hostA, late, {Succeeded}, true);
    outcome("k2", hostA, "r4", ClaimState::Answered);
    issue(ReserveFencing{.count = 2, .description = "load_model", .at = now()});
    issue(ApplySheet{.text = sheetText(6, "obi"), .by = {"obi"}, .at = now()});
    constexpr int roundsLeft = 5;
    for (int round = 0; round < roundsLeft; ++round) {
        complete(hostB, lease(hostB, 8, false), {Succeeded}, false);
    }
    for (const auto &[due, command] : delayed_) {
        if (due > steps) {
            apply(command);
        }
    }
}

constexpr int storySteps = 30;

const auto allFaults = boost::unit_test::data::make(
    {Fault::None, Fault::DoubledAtOnce, Fault::DoubledThreeStepsLater, Fault::DoubledAtTheEnd,
     Fault::Restarted, Fault::ReplayedFromTheLog, Fault::OwnerFrozen, Fault::OwnerRestarted,
     Fault::SecondOwner, Fault::FrozenTwiceAndRestarted});
const auto allSteps = boost::unit_test::data::xrange(1, storySteps + 1);

/// The story with one fault at one step, told once for all promises.
Story &told(Fault fault, int step)
{
    static std::map<std::pair<Fault, int>, std::unique_ptr<Story>> stories;
    auto &story = stories[{fault, step}];
    if (!story) {
        story = std::make_unique<Story>(fault, step);
        story->run();
    }
    return *story;
}

} // namespace

BOOST_AUTO_TEST_CASE(theStoryHasAsManyStepsAsTheMatrix)
{
    Story story(Fault::None, 0);
    story.run();
    BOOST_TEST(story.steps == storySteps);
}

BOOST_DATA_TEST_CASE(everyAcceptedItemEndsWithOneResultThatStays, allFaults *allSteps, fault, step)
{
    Story &story = told(fault, step);
    const std::map<JobId, std::uint32_t> jobs{{kept, keptItems}, {cancelled, cancelledItems}};
    for (const auto &[job, total] : jobs) {
        const ResultsAnswer answer = story.results(job);
        BOOST_TEST(answer.total == total);
        BOOST_TEST(answer.nextIndex == total);
        BOOST_TEST_REQUIRE(answer.items.size() == total);
        for (std::uint32_t index = 0; index < total; ++index) {
            BOOST_TEST(answer.items[index].index == index);
            BOOST_TEST(answer.items[index].customId == std::to_string(index));
            BOOST_TEST((answer.items[index].state != ItemState::Pending
                        && answer.items[index].state != ItemState::Leased));
        }
        story.harness.restart();
        BOOST_TEST((story.results(job) == answer));
    }
    BOOST_TEST((story.results(kept).jobState == JobState::Finished));
}

BOOST_DATA_TEST_CASE(aCancelledJobStartsNothing, allFaults *allSteps, fault, step)
{
    Story &story = told(fault, step);
    BOOST_TEST(story.leasedAfterCancel.empty());
    BOOST_TEST((story.results(cancelled).jobState == JobState::Cancelled));
}

BOOST_DATA_TEST_CASE(aClaimIsGrantedAtMostOnce, allFaults *allSteps, fault, step)
{
    Story &story = told(fault, step);
    for (const auto &[key, requests] : story.mayHaveSent) {
        BOOST_TEST(requests.size() <= 1U);
    }
}

BOOST_DATA_TEST_CASE(theSheetNumberNeverGoesDown, allFaults *allSteps, fault, step)
{
    Story &story = told(fault, step);
    BOOST_TEST(std::ranges::is_sorted(story.numbersInForce));
    BOOST_TEST(story.numbersInForce.back() == 6U);
}

BOOST_DATA_TEST_CASE(ofTwoOperatorsWithEqualNumbersOneWinsAndTheOtherIsTold, allFaults *allSteps,
                     fault, step)
{
    Story &story = told(fault, step);
    std::uint64_t accepted = 0;
    std::uint64_t taken = 0;
    for (const SheetReply &reply : story.sheetReplies) {
        accepted += reply.code == ResultCode::Ok ? 1 : 0;
        taken += reply.code == ResultCode::SheetNumberTaken ? 1 : 0;
    }
    BOOST_TEST(accepted == 2U); // numbers 5 and 6, once each
    BOOST_TEST(taken >= 1U);
    const auto trail = story.harness.ask<AuditAnswer>(
        AuditQuery{.since = {}, .kind = "sheet", .afterSequence = 0, .limit = 1000});
    BOOST_TEST(trail.records.front().who == "ada");
}

BOOST_DATA_TEST_CASE(theAuditTrailIsComplete, allFaults *allSteps, fault, step)
{
    Story &story = told(fault, step);
    const auto trail = story.harness.ask<AuditAnswer>(
        AuditQuery{.since = {}, .kind = "", .afterSequence = 0, .limit = 1000});
    std::map<std::string, std::uint64_t> found;
    std::uint64_t sequence = 0;
    for (const AuditRecord &record : trail.records) {
        BOOST_TEST(record.sequence == ++sequence);
        ++found[record.kind];
    }
    BOOST_TEST((found == story.auditExpected));
    BOOST_TEST(!trail.more);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
