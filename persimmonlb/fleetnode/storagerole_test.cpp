#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <optional>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include "persimmonlb/daemon/timers.h"
#include "persimmonlb/fleet/fleetchange.h"
#include "persimmonlb/fleetnode/storagerole.h"

using namespace persimmonlb;

namespace
{

constexpr std::chrono::seconds longestWait{20};
constexpr std::chrono::milliseconds pause{1};

/// A storage host that is a group of its own and that nobody reports to, itself included.
class Fixture
{
public:
    Fixture()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "role-XXXXXX").string();
        BOOST_REQUIRE(::mkdtemp(pattern.data()) != nullptr);
        folder_ = pattern;
        settings_.host = HostId{"127.0.0.2"};
        settings_.name = "host-2";
        settings_.meshListen = "127.0.0.2:1";
        settings_.controlListen = "127.0.0.2:2";
        settings_.seeds = {"127.0.0.2:2"};
        settings_.stores = true;
        settings_.mayForm = true;
        settings_.dataFolder = folder_.string();
        face_.parseRoutes = [](std::string_view) {
            return Outcome<RouteTable>(makeError(ResultCode::MalformedRequest, "none"));
        };
        role_.emplace(deps());
    }
    ~Fixture()
    {
        role_.reset();
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }
    Fixture(const Fixture &) = delete;
    Fixture &operator=(const Fixture &) = delete;

    /// Runs until the host leads and has made a view.
    bool runUntilViewIsMade()
    {
        BOOST_REQUIRE(capture([this] { return role_->start(); }).ok());
        const auto end = std::chrono::steady_clock::now() + longestWait;
        while (view_.term == 0 && std::chrono::steady_clock::now() < end) {
            context_.restart();
            context_.poll();
            role_->tick();
            std::this_thread::sleep_for(pause);
        }
        return view_.term > 0;
    }
    [[nodiscard]] const FleetView &view() const
    {
        return view_;
    }

private:
    StorageRoleDeps deps()
    {
        return StorageRoleDeps{
            .settings = settings_,
            .face = face_,
            .clock = systemClock(),
            .random = systemRandom(),
            .metrics = metrics_,
            .client = *client_,
            .crashes = crashes_,
            .freshness = freshness_,
            .sendToMember = [](const HostId &, const HostId &, const PeerBody &) { return false; },
            .send = [](const HostId &, const PeerBody &) { return false; },
            .sendToSome = [](const std::vector<HostId> &, const PeerBody &) {},
            .change = [this](const FleetChange &change) { applyChange(view_, change); },
            .routesInForce = [](const RoutesPush &, const std::shared_ptr<const RouteTable> &) {},
            .suspects = [](const CrashSuspects &) {},
            .leaderAge = [] { return Milliseconds(0); },
            .post
            = [this](std::function<void()> fn) { boost::asio::post(context_, std::move(fn)); },
            .after = [this](Milliseconds delay,
                            std::function<void()> fn) { timers_.after(delay, std::move(fn)); },
            .lastView = [this]() -> const FleetView & {
                return view_;
            }};
    }

    std::filesystem::path folder_;
    boost::asio::io_context context_;
    Timers timers_{context_};
    FleetSettings settings_;
    FleetFace face_;
    Metrics metrics_;
    std::unique_ptr<HttpClient> client_ = HttpClient::create(context_, HttpClientOptions());
    CrashSuspectCache crashes_{systemClock(), HostId{"127.0.0.2"}};
    RoutesFreshness freshness_{systemClock()};
    FleetView view_;
    std::optional<StorageRole> role_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(StorageRoleTest)

/// Guards against hosts without a parent: a leader that made its first view before any storage host
/// had reported to it named none.
BOOST_AUTO_TEST_CASE(namesItselfInFirstViewBeforeAnyHostReports)
{
    Fixture fixture;
    BOOST_REQUIRE(fixture.runUntilViewIsMade());
    BOOST_REQUIRE_EQUAL(fixture.view().stores.size(), 1U);
    const FleetStore &self = fixture.view().stores.front();
    BOOST_TEST(self.host.value == fixture.view().leader.value);
    BOOST_TEST(self.name == "host-2");
    BOOST_TEST(self.controlAddress == "127.0.0.2:2");
    BOOST_TEST(self.votes);
}

BOOST_AUTO_TEST_SUITE_END()
