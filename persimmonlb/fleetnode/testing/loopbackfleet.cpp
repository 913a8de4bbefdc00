#include "persimmonlb/fleetnode/testing/loopbackfleet.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <stdexcept>
#include <thread>
#include <unistd.h>
#include <utility>

#include <boost/asio/ip/tcp.hpp>

namespace persimmonlb::testing
{

namespace
{

constexpr std::chrono::seconds longestWait{20};
constexpr std::chrono::microseconds idlePause{100};
constexpr int lastHost = 9; ///< Hosts are 127.0.0.2 to this one.

std::string hostName(int number)
{
    return "127.0.0." + std::to_string(number);
}

bool isFree(std::uint16_t port)
{
    boost::asio::io_context context;
    for (int number = 1; number <= lastHost; ++number) {
        boost::asio::ip::tcp::acceptor acceptor(context);
        const boost::asio::ip::tcp::endpoint endpoint(
            boost::asio::ip::make_address(hostName(number)), port);
        boost::system::error_code error;
        acceptor.open(endpoint.protocol());
        acceptor.set_option(boost::asio::socket_base::reuse_address(true));
        acceptor.bind(endpoint, error);
        if (error) {
            return false;
        }
    }
    return true;
}

/// A port that is free on every host's address now. Processes begin to look at different ports, all
/// below those that the system gives to outgoing connections.
std::uint16_t freePort()
{
    constexpr std::uint16_t lowest = 10000;
    constexpr std::uint16_t count = 20000;
    constexpr int stride = 7;
    const auto first = static_cast<std::uint32_t>(::getpid()) * stride;
    for (std::uint32_t tried = 0; tried < count; ++tried) {
        const auto port = static_cast<std::uint16_t>(lowest + (first + tried) % count);
        if (isFree(port)) {
            return port;
        }
    }
    throw std::runtime_error("no free port");
}

std::filesystem::path makeFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "fleet-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    return pattern;
}

/// Routes written as "VERSION": one safe route to the service "plain".
Outcome<RouteTable> parseRoutes(std::string_view text)
{
    Route route;
    route.name = "r";
    route.host = "a.example";
    route.pathPrefix = "/";
    route.kind = RouteKind::Safe;
    route.timeout = Milliseconds(1000);
    route.services = {{ServiceName{"plain"}, 1}};
    RoutedService service;
    service.name = ServiceName{"plain"};
    return capture([&] {
        return RouteTable::make(std::strtoull(std::string(text).c_str(), nullptr, 10), {route},
                                {service}, {});
    });
}

FleetFace makeFace(FleetNode & /*node*/)
{
    const HttpHandler none = [](const HttpRequest &, const std::shared_ptr<HttpResponder> &) {
    };
    FleetFace face;
    face.codec.encode = [](const HttpRequest &request, const RelayAttempt &) {
        return request;
    };
    face.codec.classify = [](const std::string &, const HttpResponseHead &) {
        return ResponseClass::Success;
    };
    face.codec.encodeError = [](const std::string &, const Error &) {
        return HttpResponse{503, {}, {}};
    };
    face.parseRoutes = parseRoutes;
    face.itemRequest = [](const std::string &, const BulkItemSpec &) {
        return HttpRequest();
    };
    face.engine.loadRequest = [] {
        return HttpRequest();
    };
    face.engine.parseLoad = [](std::string_view) {
        return std::optional<EngineLoad>();
    };
    face.engine.stopRequest = [](const std::string &, const std::string &) {
        return HttpRequest();
    };
    face.engine.releaseRequest = [](std::string_view) {
        return std::optional<HttpRequest>();
    };
    face.callers = none;
    face.directory = none;
    face.readiness = none;
    face.control = none;
    return face;
}

} // namespace

LoopbackFleet::LoopbackFleet()
    : folder_(makeFolder())
    , meshPort_(freePort())
{
}

LoopbackFleet::~LoopbackFleet()
{
    processes_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

FleetSettings LoopbackFleet::settingsFor(int number) const
{
    FleetSettings settings;
    settings.host = HostId{hostName(number)};
    settings.name = "host-" + std::to_string(number);
    settings.region = Region{"r"};
    settings.availabilityZone = AvailabilityZone{"z"};
    settings.meshPort = meshPort_;
    settings.meshListen = hostName(number) + ":" + std::to_string(meshPort_);
    settings.meshKey = "key";
    for (const int seed : seeds_) {
        settings.seeds.push_back(hostName(seed) + ":1");
    }
    settings.answerTtl = Milliseconds(100);
    settings.stopGrace = Milliseconds(2000);
    settings.resultsKept = Milliseconds(60000);
    return settings;
}

void LoopbackFleet::startStore(int number, bool mayForm)
{
    FleetSettings settings = settingsFor(number);
    settings.stores = true;
    settings.mayForm = mayForm;
    settings.dataFolder = (folder_ / std::to_string(number)).string();
    settings.controlListen = hostName(number) + ":0";
    start(number, std::move(settings));
}

void LoopbackFleet::startEntry(int number)
{
    FleetSettings settings = settingsFor(number);
    settings.takesCallers = true;
    settings.callerListen = hostName(number) + ":0";
    start(number, std::move(settings));
}

void LoopbackFleet::start(int number, FleetSettings settings)
{
    auto process = std::make_unique<Process>();
    process->stores = settings.stores;
    process->node = std::make_unique<FleetNode>(
        process->context, std::move(settings), [this, number](FleetNode &node) {
            FleetFace face = makeFace(node);
            face.parseRoutes = [this, number](std::string_view text) {
                if (parsesLeftToThrow(number) > 0) {
                    --parsesThatThrow_.at(number);
                    throw std::runtime_error("a parser that throws");
                }
                return parseRoutes(text);
            };
            return face;
        });
    const Outcome<Done> started = capture([&] { return process->node->start(); });
    if (!started.ok()) {
        throw std::runtime_error(started.error().message);
    }
    processes_[number] = std::move(process);
}

void LoopbackFleet::kill(int number)
{
    // The node goes first: its sockets belong to the context.
    processes_.at(number)->node.reset();
    processes_.erase(number);
}

void LoopbackFleet::wipe(int number)
{
    std::filesystem::remove_all(folder_ / std::to_string(number));
}

void LoopbackFleet::setSeeds(std::vector<int> seeds)
{
    seeds_ = std::move(seeds);
}

void LoopbackFleet::throwInParses(int number, int count)
{
    parsesThatThrow_[number] = count;
}

int LoopbackFleet::parsesLeftToThrow(int number) const
{
    const auto known = parsesThatThrow_.find(number);
    return known == parsesThatThrow_.end() ? 0 : known->second;
}

boost::asio::io_context &LoopbackFleet::context(int number)
{
    return processes_.at(number)->context;
}

FleetNode &LoopbackFleet::node(int number)
{
    return *processes_.at(number)->node;
}

int LoopbackFleet::leader() const
{
    for (const auto &[number, process] : processes_) {
        if (process->stores && process->node->storage()->isLeader()) {
            return number;
        }
    }
    return 0;
}

bool LoopbackFleet::formGroup()
{
    for (const int number : firstStores) {
        startStore(number, true);
    }
    return runUntil([this] { return leader() != 0; });
}

int LoopbackFleet::follower(int other) const
{
    for (const int number : firstStores) {
        if (number != leader() && number != other) {
            return number;
        }
    }
    return 0;
}

bool LoopbackFleet::isVoter(int number)
{
    if (leader() == 0) {
        return false;
    }
    HostReport report;
    node(number).storage()->fillReport(report);
    const GroupStatus group = node(leader()).storage()->group();
    return !group.changeInProgress
        && std::ranges::any_of(group.members, [&report](const MemberStatus &member) {
               return member.host == report.member && member.voter;
           });
}

void LoopbackFleet::turn()
{
    std::size_t handled = 0;
    for (const auto &[number, process] : processes_) {
        handled += process->context.poll();
    }
    if (handled == 0) {
        std::this_thread::sleep_for(idlePause);
    }
}

bool LoopbackFleet::runUntil(const std::function<bool()> &done)
{
    const auto end = std::chrono::steady_clock::now() + longestWait;
    while (std::chrono::steady_clock::now() < end) {
        turn();
        if (done()) {
            return true;
        }
    }
    return false;
}

void LoopbackFleet::runFor(Milliseconds time, const std::function<void()> &step)
{
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
        turn();
        step();
    }
}

std::uint64_t LoopbackFleet::diskKilobytes() const
{
    constexpr std::uint64_t bytesPerKilobyte = 1024;
    std::uint64_t bytes = 0;
    for (const auto &entry : std::filesystem::recursive_directory_iterator(folder_)) {
        std::error_code gone;
        const std::uint64_t size = entry.is_regular_file(gone) ? entry.file_size(gone) : 0;
        bytes += gone ? 0 : size;
    }
    return bytes / bytesPerKilobyte;
}

bool LoopbackFleet::propose(int through, const Command &command)
{
    const auto taken = std::make_shared<bool>(false);
    const auto asked = std::make_shared<bool>(false);
    return runUntil([&] {
        if (!*taken && !*asked) {
            *asked = true;
            node(through).control().propose(command, [taken, asked](const Outcome<Reply> &reply) {
                *taken = reply.ok();
                *asked = false;
            });
        }
        return *taken;
    });
}

} // namespace persimmonlb::testing
