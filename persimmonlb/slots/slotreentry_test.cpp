// Guards against hooks of the SlotBroker that are called while it walks over its queues or servers.
// A receiver may end a slot, request another one or cancel requests inside a hook; the nested call
// then served the same queue again, granted a request twice and erased elements that the outer walk
// still pointed to, which ended an entry host with a segmentation fault.
#include <set>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/slots/slotbroker.h"

using namespace persimmonlb;

namespace
{

constexpr std::uint64_t orders = 400;
constexpr int eventsPerOrder = 300;
constexpr std::uint32_t slotsPerServer = 2;
const std::vector<ServiceName> services{ServiceName{"lm"}, ServiceName{"plain"}};
const std::vector<HostId> hosts{HostId{"e0"}, HostId{"e1"}};

/// Plays one seeded order of events against a broker whose hooks call the broker again.
class Fixture
{
public:
    explicit Fixture(std::uint64_t seed)
        : random_(seededRandom(seed))
        , broker_(SlotBrokerOptions{},
                  Clock{.monotonic = [this] { return now_; },
                        .wall =
                            [] {
                                return WallTime();
                            }},
                  seededRandom(seed + orders), hooks())
    {
        setServers(3);
    }

    void run()
    {
        for (int event = 0; event < eventsPerOrder; ++event) {
            nestedCalls_ = 0;
            act();
            checkCounts();
        }
    }

    /// Ends everything and checks that no slot and no request is left.
    void endAll()
    {
        isEnding_ = true;
        setServers(3);
        for (const HostId &host : hosts) {
            broker_.hostLost(host);
        }
        for (const BatchRunSlot &run : batchRuns_) {
            broker_.batchEnded(run, SlotOutcome::Abandoned);
        }
        for (const ServiceName &service : services) {
            BOOST_TEST(broker_.waiting(service) == 0U);
            const SlotUsage usage = broker_.usage(service);
            BOOST_TEST(usage.online == 0U);
            BOOST_TEST(usage.batch == 0U);
        }
    }

    int grants = 0;

private:
    using Key = std::pair<HostId, std::uint64_t>;

    std::uint64_t below(std::uint64_t limit)
    {
        return random_() % limit;
    }

    SlotBrokerHooks hooks()
    {
        return {.grant = [this](const HostId &to, const SlotGrant &grant) { granted(to, grant); },
                .refuse =
                    [this](const HostId &to, const SlotRefusal &refusal) {
                        enterHook();
                        BOOST_TEST(waiting_.erase({to, refusal.ticket}) == 1U);
                        actNested();
                        --hookDepth_;
                    },
                .yieldBatch = [this](const ServiceName &service) { return yield(service); },
                .batchMayStart =
                    [this](const ServiceName &service) {
                        enterHook();
                        startBatchRun(service);
                        actNested();
                        --hookDepth_;
                    }};
    }

    /// Hooks other than yieldBatch() are called one after the other, never inside another one.
    void enterHook()
    {
        BOOST_TEST(hookDepth_ == 0);
        ++hookDepth_;
    }

    void granted(const HostId &to, const SlotGrant &grant)
    {
        enterHook();
        const Key key{to, grant.ticket};
        // A request that was ended, or that has a slot already, gets no grant.
        BOOST_TEST(waiting_.contains(key));
        if (!grant.server.empty()) {
            ++grants;
            waiting_.erase(key);
            held_.insert(key);
            if (below(3) == 0) {
                end(key);
            }
        }
        actNested();
        --hookDepth_;
    }

    std::optional<BatchRunSlot> yield(const ServiceName &service)
    {
        ++hookDepth_;
        actNested();
        std::optional<BatchRunSlot> freed;
        for (auto run = batchRuns_.begin(); run != batchRuns_.end(); ++run) {
            if (serviceOf(run->server) == service) {
                freed = *run;
                batchRuns_.erase(run);
                break;
            }
        }
        --hookDepth_;
        return freed;
    }

    void actNested()
    {
        constexpr int maxNestedCalls = 12;
        while (!isEnding_ && nestedCalls_ < maxNestedCalls && below(2) == 0) {
            ++nestedCalls_;
            act();
        }
    }

    void act()
    {
        const std::uint64_t event = below(41);
        if (event < 18) {
            request();
        } else if (event < 27) {
            endOne(held_);
        } else if (event < 31) {
            endOne(waiting_);
        } else if (event < 34) {
            now_ += Milliseconds(static_cast<std::int64_t>(below(400)));
            broker_.tick();
        } else if (event < 36) {
            endBatchRun();
        } else if (event == 36) {
            const HostId &host = hosts[below(hosts.size())];
            forget(host);
            broker_.hostLost(host);
        } else if (event == 37) {
            setServers(1 + below(4));
        } else if (event == 38) {
            const HostId &host = hosts[below(hosts.size())];
            forget(host);
            const Key key{host, nextTicket_++};
            held_.insert(key);
            broker_.setHeldSlots(host, SlotsHeld{{{key.second, ServerId{"s0"}, 1}}});
        } else if (event == 39) {
            held_.clear();
            waiting_.clear();
            batchRuns_.clear();
            broker_.reset();
        } else {
            startBatchRun(services[below(services.size())]);
        }
    }

    void request()
    {
        const Key key{hosts[below(hosts.size())], nextTicket_++};
        SlotRequest request;
        request.ticket = key.second;
        request.service = services[below(services.size())];
        request.priority = static_cast<std::uint32_t>(below(2));
        request.startWithinMs = below(3000);
        request.giveUpAfterMs = request.startWithinMs + below(2000);
        if (below(3) == 0) {
            request.excluded = {ServerId{"s" + std::to_string(below(4))}};
        }
        if (below(2) == 0) {
            request.customer = CustomerName{"c" + std::to_string(below(3))};
            request.customerWeight = static_cast<double>(below(3));
        }
        waiting_.insert(key);
        broker_.request(key.first, request);
    }

    void endOne(const std::set<Key> &from)
    {
        if (!from.empty()) {
            // end() erases the element.
            const Key key
                = *std::next(from.begin(), static_cast<std::ptrdiff_t>(below(from.size())));
            end(key);
        }
    }

    void end(const Key &key)
    {
        held_.erase(key);
        waiting_.erase(key);
        const std::vector outcomes{SlotOutcome::Completed, SlotOutcome::Abandoned,
                                   SlotOutcome::Refused, SlotOutcome::Unreachable};
        broker_.end(
            key.first,
            {.ticket = key.second, .outcome = outcomes[below(outcomes.size())], .heldMs = 300});
    }

    void startBatchRun(const ServiceName &service)
    {
        if (isEnding_) {
            return;
        }
        if (const auto server = broker_.takeForBatch(service, 1, true)) {
            batchRuns_.push_back({*server, 1});
        }
    }

    void endBatchRun()
    {
        if (!batchRuns_.empty()) {
            const BatchRunSlot run = batchRuns_.back();
            batchRuns_.pop_back();
            broker_.batchEnded(run, SlotOutcome::Completed);
        }
    }

    void forget(const HostId &host)
    {
        const auto isOfHost = [&host](const Key &key) {
            return key.first == host;
        };
        std::erase_if(held_, isOfHost);
        std::erase_if(waiting_, isOfHost);
    }

    [[nodiscard]] static ServiceName serviceOf(const ServerId &server)
    {
        return services[static_cast<std::size_t>(server.value.back() - '0') % services.size()];
    }

    void setServers(std::uint64_t count)
    {
        std::vector<FleetServer> servers;
        for (std::uint64_t number = 0; number < count; ++number) {
            FleetServer server;
            server.id = ServerId{"s" + std::to_string(number)};
            server.bornMs = 1;
            server.service = serviceOf(server.id);
            server.address = server.id.value + ":80";
            server.slots = slotsPerServer;
            servers.push_back(server);
        }
        std::erase_if(batchRuns_, [count](const BatchRunSlot &run) {
            return static_cast<std::uint64_t>(run.server.value.back() - '0') >= count;
        });
        broker_.setServers(
            servers, [](const ServiceName &) { return SlotCapacity{.slots = slotsPerServer}; });
    }

    void checkCounts()
    {
        std::size_t queued = 0;
        for (const ServiceName &service : services) {
            queued += broker_.waiting(service);
        }
        // Every request that has neither an answer nor an end is in a queue.
        BOOST_TEST(queued == waiting_.size());
    }

    RandomSource random_;
    MonotonicTime now_;
    std::uint64_t nextTicket_ = 1;
    int hookDepth_ = 0;
    int nestedCalls_ = 0;
    bool isEnding_ = false;
    std::set<Key> waiting_; ///< Requests without a slot.
    std::set<Key> held_;
    std::vector<BatchRunSlot> batchRuns_;
    SlotBroker broker_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(SlotReentryTest)

BOOST_AUTO_TEST_CASE(keepsStateUnderCallsInsideHooks)
{
    int grants = 0;
    for (std::uint64_t seed = 1; seed <= orders; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            Fixture fixture(seed);
            fixture.run();
            fixture.endAll();
            grants += fixture.grants;
        }
    }
    BOOST_TEST(grants > 10000);
}

/// The case of an entry host: the receiver ends the slot inside the grant while others wait.
BOOST_AUTO_TEST_CASE(grantsQueuedRequestsOnceWhenReceiverEndsSlotInsideGrant)
{
    const HostId host{"e"};
    std::vector<std::uint64_t> granted;
    MonotonicTime now;
    SlotBroker *called = nullptr;
    SlotBroker broker(
        SlotBrokerOptions{},
        Clock{.monotonic = [&now] { return now; },
              .wall =
                  [] {
                      return WallTime();
                  }},
        seededRandom(1),
        {.grant =
             [&](const HostId &to, const SlotGrant &grant) {
                 if (grant.server.empty()) {
                     return;
                 }
                 granted.push_back(grant.ticket);
                 if (grant.ticket > 1) {
                     called->end(to, {.ticket = grant.ticket, .outcome = SlotOutcome::Abandoned});
                 }
             },
         .refuse = [](const HostId &, const SlotRefusal &) {},
         .yieldBatch = nullptr,
         .batchMayStart = nullptr});
    called = &broker;
    FleetServer server;
    server.id = ServerId{"s"};
    server.bornMs = 1;
    server.service = services[0];
    server.address = "s:80";
    server.slots = 1;
    broker.setServers({server}, [](const ServiceName &) { return SlotCapacity{.slots = 1}; });
    for (std::uint64_t ticket = 1; ticket <= 4; ++ticket) {
        SlotRequest request;
        request.ticket = ticket;
        request.service = services[0];
        request.startWithinMs = 5000;
        request.giveUpAfterMs = 5000;
        broker.request(host, request);
    }
    broker.end(host, {.ticket = 1, .outcome = SlotOutcome::Abandoned});
    const std::vector<std::uint64_t> expected{1, 2, 3, 4};
    BOOST_TEST(granted == expected, boost::test_tools::per_element());
    BOOST_TEST(broker.waiting(services[0]) == 0U);
    BOOST_TEST(broker.freeSlots(services[0]) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
