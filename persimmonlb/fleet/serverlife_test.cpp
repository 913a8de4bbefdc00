// All orders of the events in the life of one server, over changes of the leader.
#include <array>
#include <memory>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/fleet/fleetregistry.h"

using namespace persimmonlb;

namespace
{

constexpr std::uint64_t firstStart = 100;
constexpr std::uint64_t laterStart = 200;

enum class Event : std::uint8_t {
    Ready, ///< An announcement of the first start, perhaps late.
    NewerReady, ///< One that was sent later, perhaps late too.
    Draining, ///< Acknowledged: the log keeps it.
    Gone, ///< Acknowledged: the log keeps it.
    Silent, ///< Nothing was heard for so long that the server is dropped.
    NextLeader, ///< With the view of the leader before.
    NextLeaderWithOldView, ///< With a view of the time when the first start was ready.
    AllRestarted, ///< The next leader has no view.
    LaterStart, ///< An announcement of a later start of the same server.
};

constexpr std::array allEvents
    = {Event::Ready,        Event::NewerReady, Event::Draining,
       Event::Gone,         Event::Silent,     Event::NextLeader,
       Event::AllRestarted, Event::LaterStart, Event::NextLeaderWithOldView};

FleetServer announcement(std::uint64_t born, std::uint64_t sequence, bool draining = false)
{
    return FleetServer{.id = {"s"},
                       .bornMs = born,
                       .sequence = sequence,
                       .service = {"lm"},
                       .address = "10.0.0.1:80",
                       .availabilityZone = {"a"},
                       .slots = 8,
                       .draining = draining};
}

/// The leaders of a fleet, one after the other, with what the log and views keep.
class Leaders
{
public:
    Leaders()
    {
        oldView_.term = 1;
        oldView_.servers = {announcement(firstStart, 1)};
        lead();
    }

    void happen(Event event)
    {
        switch (event) {
        case Event::Ready:
            registry_->announce(announcement(firstStart, 2));
            return;
        case Event::NewerReady:
            registry_->announce(announcement(firstStart, 5));
            return;
        case Event::Draining:
            registry_->announce(announcement(firstStart, 4, true));
            keep();
            drainingAcknowledged_ = true;
            return;
        case Event::Gone:
            registry_->serverGone(ServerId{"s"});
            keep();
            // A DELETE does not say which start it ends.
            laterEnded_ = laterEnded_ || laterSequence_ > 0;
            goneAcknowledged_ = true;
            return;
        case Event::Silent:
            now_ += Milliseconds(6500);
            registry_->tick();
            return;
        case Event::NextLeader: {
            FleetView view;
            view.term = 1;
            view.servers = registry_->servers();
            lead();
            adopt(view);
            return;
        }
        case Event::NextLeaderWithOldView:
            lead();
            adopt(oldView_);
            return;
        case Event::AllRestarted:
            lead();
            adopt(saved_);
            return;
        case Event::LaterStart:
            announceLaterStart();
            return;
        }
    }

    /// Announces the later start; false if it should be listed as ready after that and is not.
    bool announceLaterStart()
    {
        registry_->announce(announcement(laterStart, ++laterSequence_));
        const auto servers = registry_->servers();
        return laterEnded_
            || (servers.size() == 1 && servers[0].bornMs == laterStart && !servers[0].draining);
    }
    /// False if what was acknowledged does not hold.
    [[nodiscard]] bool holdsAcknowledged() const
    {
        const auto servers = registry_->servers();
        if (servers.empty() || servers[0].bornMs != firstStart) {
            return true;
        }
        return !goneAcknowledged_ && (!drainingAcknowledged_ || servers[0].draining);
    }

private:
    void lead()
    {
        registry_
            = std::make_unique<FleetRegistry>(FleetRegistryOptions{},
                                              Clock{.monotonic = [this] { return now_; },
                                                    // Between the two starts.
                                                    .wall =
                                                        [] {
                                                            return WallTime(Milliseconds(150));
                                                        }});
    }
    void adopt(const FleetView &view)
    {
        registry_->adopt(view);
        registry_->adoptEnds(saved_);
    }
    void keep()
    {
        saved_.servers = registry_->servers();
        saved_.endedServers = registry_->endedServers();
        for (FleetServer &server : saved_.servers) {
            server.sequence = 0;
        }
    }

    MonotonicTime now_;
    std::unique_ptr<FleetRegistry> registry_;
    FleetView oldView_;
    FleetView saved_;
    bool drainingAcknowledged_ = false;
    bool goneAcknowledged_ = false;
    bool laterEnded_ = false;
    std::uint64_t laterSequence_ = 0;
};

std::string describe(const std::vector<Event> &events)
{
    std::string text;
    for (const Event event : events) {
        text += std::to_string(static_cast<int>(event)) + " ";
    }
    return text;
}

/// Plays every sequence of `length` events; returns how many broke `holds`.
template <typename Holds>
std::size_t playAll(std::size_t length, const Holds &holds)
{
    std::size_t broken = 0;
    std::size_t sequences = 1;
    for (std::size_t i = 0; i < length; ++i) {
        sequences *= allEvents.size();
    }
    for (std::size_t number = 0; number < sequences; ++number) {
        std::vector<Event> events;
        for (std::size_t rest = number, i = 0; i < length; ++i, rest /= allEvents.size()) {
            events.push_back(allEvents[rest % allEvents.size()]);
        }
        if (!holds(events) && broken++ < 5) {
            BOOST_TEST_MESSAGE("broken: " << describe(events));
        }
    }
    return broken;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServerLifeTest)

/// Guards against a late announcement that brings back a server whose end or draining was
/// acknowledged, under a later leader or one with an older view.
BOOST_AUTO_TEST_CASE(acknowledgedEndsHoldInEveryOrderOfSixEvents)
{
    const std::size_t broken = playAll(6, [](const std::vector<Event> &events) {
        Leaders leaders;
        for (const Event event : events) {
            leaders.happen(event);
            if (!leaders.holdsAcknowledged()) {
                return false;
            }
        }
        return true;
    });
    BOOST_TEST(broken == 0U);
}

/// Guards against a later start of a server that is kept out since an earlier one ended.
BOOST_AUTO_TEST_CASE(laterStartIsTakenInEveryOrderOfFiveEvents)
{
    const std::size_t broken = playAll(5, [](const std::vector<Event> &events) {
        Leaders leaders;
        for (const Event event : events) {
            leaders.happen(event);
        }
        return leaders.announceLaterStart();
    });
    BOOST_TEST(broken == 0U);
}

/// Guards against a sound server that is dropped when a host leads again, since that host had ended
/// it by mistake and the leader between had taken it back.
BOOST_AUTO_TEST_CASE(leaderForgetsEndsThatTheLogNoLongerHas)
{
    MonotonicTime now;
    const Clock clock{.monotonic = [&now] { return now; },
                      .wall =
                          [] {
                              return WallTime();
                          }};
    FleetRegistry first(FleetRegistryOptions{}, clock);
    first.announce(announcement(firstStart, 1));
    first.serverGone(ServerId{"s"});
    BOOST_TEST(!first.announce(announcement(firstStart, 2)));
    // The leader between hears it for long enough.
    FleetView between;
    between.term = 2;
    between.servers = {announcement(firstStart, 20)};
    first.adopt(between);
    first.adoptEnds(between);
    BOOST_TEST(first.servers().size() == 1U);
    BOOST_TEST(first.announce(announcement(firstStart, 21)));
}

/// Guards against a sound server that is kept out for two minutes: a call that ends its earlier
/// start was held up by a partition and arrives after the later start was announced.
BOOST_AUTO_TEST_CASE(laterStartIsListedAgainAfterHeldUpEndOfEarlierOne)
{
    MonotonicTime now;
    FleetRegistry registry(FleetRegistryOptions{},
                           Clock{.monotonic = [&now] { return now; },
                                 .wall =
                                     [] {
                                         return WallTime();
                                     }});
    registry.announce(announcement(firstStart, 1));
    registry.serverGone(ServerId{"s"});
    registry.announce(announcement(laterStart, 1));
    BOOST_TEST(registry.servers().size() == 1U);
    registry.serverGone(ServerId{"s"});
    BOOST_TEST(registry.servers().empty());
    constexpr std::uint64_t seconds = 12;
    for (std::uint64_t second = 1; second <= seconds; ++second) {
        now += Milliseconds(1000);
        registry.announce(announcement(laterStart, 1 + second));
    }
    BOOST_REQUIRE_EQUAL(registry.servers().size(), 1U);
    BOOST_TEST(registry.servers()[0].bornMs == laterStart);
}

BOOST_AUTO_TEST_SUITE_END()
