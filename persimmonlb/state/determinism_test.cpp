#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "persimmonlb/state/testing/stateharness.h"

namespace persimmonlb
{

BOOST_AUTO_TEST_SUITE(DeterminismTest)

namespace
{

using testing::StateHarness;

/// Random commands over few names, so that they meet each other's state. Sees the replies, as a
/// host would: items that were leased are completed, late ones among them.
class CommandSource
{
public:
    explicit CommandSource(std::uint32_t seed)
        : random_(seed)
    {
    }

    Command next()
    {
        now_ += Milliseconds(static_cast<std::int64_t>(pick(20'000)));
        switch (pick(16)) {
        case 0:
            return ApplySheet{.text = sheetText(), .by = {"ada"}, .at = at()};
        case 1:
            return openJob();
        case 2:
        case 3:
            return addItems();
        case 4:
            return SealJob{.id = job(), .at = at()};
        case 5:
            return CancelJob{.id = job(), .caller = {}, .by = "ada", .at = at()};
        case 6:
        case 7:
        case 8:
            return LeaseItems{.owner = owner(),
                              .sequence = pick(4) == 0 ? pick(200) : ++sequence_,
                              .service = service(),
                              .maxItems = static_cast<std::uint32_t>(pick(6)),
                              .at = at()};
        case 9:
        case 10:
            return completeItems();
        case 11:
            return ReleaseOwner{.owner = owner(), .at = at()};
        case 12:
            return claimOrOutcome();
        case 13:
            return hostCommand();
        case 14:
            return suspectCommand();
        default:
            return auditOrFencing();
        }
    }

    void see(const Reply &reply)
    {
        const auto *lease = std::get_if<LeaseReply>(&reply);
        if (lease == nullptr) {
            return;
        }
        for (const LeasedItem &item : lease->items) {
            leased_.push_back(item);
        }
    }

private:
    std::uint64_t pick(std::uint64_t count)
    {
        return random_() % count;
    }

    std::string numbered(const char *name, std::uint64_t count)
    {
        return name + std::to_string(pick(count));
    }

    /// Hosts' clocks differ by up to two seconds.
    WallTime at()
    {
        return now_ - Milliseconds(static_cast<std::int64_t>(pick(2000)));
    }

    JobId job()
    {
        return {numbered("j", 12)};
    }

    ServiceName service()
    {
        return {numbered("s", 2)};
    }

    Owner owner()
    {
        return {.host = {numbered("h", 3)}, .incarnation = 1 + pick(3)};
    }

    std::string sheetText()
    {
        const std::string attempts = std::to_string(1 + pick(3));
        return "number = " + std::to_string(1 + pick(30))
            + "\n[[service]]\nname = \"s0\"\nkind = \"plain\"\nmax_batch_attempts = " + attempts
            + "\n";
    }

    Command openJob()
    {
        const std::uint64_t number = pick(12);
        return OpenJob{.id = {"j" + std::to_string(number)},
                       .caller = {"c" + std::to_string(number % 3)},
                       .idempotencyKey = numbered("k", 12),
                       .service = service(),
                       .due = now_ + Milliseconds(static_cast<std::int64_t>(pick(3'600'000))),
                       .itemCount = static_cast<std::uint32_t>(1 + pick(8)),
                       .bodyDigest = numbered("d", 2),
                       .at = at()};
    }

    Command addItems()
    {
        AddItems command{
            .id = job(), .firstIndex = static_cast<std::uint32_t>(pick(3)), .items = {}};
        for (std::uint64_t i = 0; i < 1 + pick(8); ++i) {
            command.items.push_back(
                {.customId = "x", .idempotent = pick(4) != 0, .body = numbered("b", 100)});
        }
        return command;
    }

    Command completeItems()
    {
        CompleteItems command{.owner = owner(), .outcomes = {}, .at = at()};
        for (std::uint64_t i = 0; i < pick(6) && !leased_.empty(); ++i) {
            const LeasedItem &item = leased_[pick(leased_.size())];
            command.outcomes.push_back({.job = item.job,
                                        .index = item.index,
                                        .attempt = item.attempt,
                                        .kind = static_cast<ItemOutcomeKind>(pick(4)),
                                        .status = 200,
                                        .body = numbered("r", 100)});
        }
        return command;
    }

    Command claimOrOutcome()
    {
        const ClaimKey key{.caller = {"c0"}, .idempotencyKey = numbered("q", 6)};
        if (pick(2) == 0) {
            return ClaimRequest{.key = key,
                                .service = {"s0"},
                                .bodyDigest = numbered("d", 2),
                                .owner = owner(),
                                .requestId = numbered("r", 4),
                                .at = at()};
        }
        return RecordOutcome{.key = key,
                             .owner = owner(),
                             .requestId = numbered("r", 4),
                             .state = static_cast<ClaimState>(2 + pick(3)),
                             .answer = {.status = 200, .contentType = "t", .body = "ok"},
                             .at = at()};
    }

    Command hostCommand()
    {
        if (pick(2) == 0) {
            return DrainHost{
                .host = {numbered("h", 3)}, .draining = pick(2) == 0, .by = "ada", .at = at()};
        }
        return RegisterHost{.owner = owner(),
                            .address = numbered("a", 3),
                            .availabilityZone = {"z"},
                            .region = {"r"},
                            .at = at()};
    }

    Command suspectCommand()
    {
        if (pick(6) == 0) {
            return ReleaseQuarantine{.fingerprint = numbered("f", 4), .by = "ada", .at = at()};
        }
        ReportSuspects command{.server = {numbered("b", 3)},
                               .serverIncarnation = pick(2),
                               .fingerprints = {},
                               .alone = false,
                               .period = Milliseconds(60'000),
                               .at = at()};
        for (std::uint64_t i = 0; i < 1 + pick(2); ++i) {
            command.fingerprints.push_back(numbered("f", 4));
        }
        return command;
    }

    Command auditOrFencing()
    {
        if (pick(2) == 0) {
            return ReserveFencing{.count = 3, .description = "load", .at = at()};
        }
        return AppendAudit{.owner = owner(),
                           .batch = pick(20),
                           .records = {AuditRecord{.sequence = 0,
                                                   .at = at(),
                                                   .kind = "refusal",
                                                   .who = "c0",
                                                   .subject = "s0",
                                                   .code = 201,
                                                   .count = 2,
                                                   .detail = ""}}};
    }

    std::mt19937 random_;
    WallTime now_{Milliseconds(1'796'299'200'000)};
    std::uint64_t sequence_ = 200;
    std::vector<LeasedItem> leased_;
};

} // namespace

/// The same commands on two instances, one of which is restarted over its store at random
/// moments, give the same replies and the same store.
BOOST_DATA_TEST_CASE(restartsChangeNothing, boost::unit_test::data::xrange(12), round)
{
    constexpr int commands = 1500;
    constexpr int commandsPerComparison = 20;
    const auto seed = static_cast<std::uint32_t>(4100 + round);
    BOOST_TEST_MESSAGE("seed " << seed);
    CommandSource source(seed);
    std::mt19937 random(seed + 1);
    StateHarness steady;
    StateHarness restarted;
    for (int i = 0; i < commands; ++i) {
        const Command command = source.next();
        const Reply reply = steady.applyAny(command);
        source.see(reply);
        if (random() % 8 == 0) {
            restarted.restart();
            BOOST_REQUIRE(restarted.reloaded);
        }
        BOOST_REQUIRE((restarted.applyAny(command) == reply));
        if (i % commandsPerComparison == 0) {
            BOOST_REQUIRE((restarted.store.content == steady.store.content));
        }
        BOOST_REQUIRE((restarted.state().answer(EntryStateQuery{})
                       == steady.state().answer(EntryStateQuery{})));
        BOOST_REQUIRE((restarted.state().owners() == steady.state().owners()));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
