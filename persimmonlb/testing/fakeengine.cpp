#include <chrono>
#include <csignal>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <sstream>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <tclap/CmdLine.h>
#include <tclap/HelpVisitor.h>
#include <tclap/StdOutput.h>

#include "persimmonlb/testing/internal/announcer.h"
#include "persimmonlb/testing/internal/connection.h"
#include "persimmonlb/testing/internal/fakeoptions.h"
#include "persimmonlb/testing/internal/fakeservice.h"

/// fakeengine: stand-in of one backend server, a model engine or (--kind plain) a plain service.
namespace persimmonlb
{
namespace
{

namespace asio = boost::asio;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr Milliseconds idlePoll{50};
constexpr int usageStatus = 2;

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

std::string readKey(const std::string &file)
{
    std::ifstream stream(file);
    std::string key;
    std::getline(stream, key);
    return key;
}

/// Everything the two kinds of stand-in have in common.
struct Service {
    TestHandler handle;
    std::function<FakeStatus()> status;
    std::function<bool()> idle;
    std::function<void()> leave;
    std::function<void(std::function<std::string()>)> setStateSource;
};

template <typename Kind>
Service makeService(asio::io_context &context, const FakeOptions &options)
{
    auto kind = std::make_shared<Kind>(context, options);
    return Service{[kind](TestRequest request, std::shared_ptr<Connection> connection) {
                       return kind->handle(std::move(request), std::move(connection));
                   },
                   [kind] { return kind->status(); }, [kind] { return kind->idle(); },
                   [kind] { kind->leave(); },
                   [kind](std::function<std::string()> state) {
                       kind->setStateSource(std::move(state));
                   }};
}

/// Waits for SIGTERM or SIGINT, tells the entry hosts, and stops once nothing runs any more.
asio::awaitable<void> leaveOnSignal(asio::io_context &context, const FakeOptions &options,
                                    const Service &service, Announcer &announcer)
{
    asio::signal_set signals(context, SIGTERM, SIGINT);
    co_await signals.async_wait(asTuple);
    service.leave();
    announcer.hurry();
    asio::steady_timer timer(context, options.leaveTime);
    co_await timer.async_wait(asTuple);
    while (!service.idle()) {
        timer.expires_after(idlePoll);
        co_await timer.async_wait(asTuple);
    }
    context.stop();
}

asio::awaitable<void> stopAfter(asio::io_context &context, std::chrono::seconds time)
{
    asio::steady_timer timer(context, time);
    co_await timer.async_wait(asTuple);
    context.stop();
}

int serve(const FakeOptions &options, std::chrono::seconds runTime)
{
    asio::io_context context(1);
    const Service service = options.plain ? makeService<FakePlain>(context, options)
                                          : makeService<FakeEngine>(context, options);
    Announcer announcer(context, options, service.status);
    service.setStateSource([&announcer] { return announcer.announcement(); });

    const auto colon = options.listen.rfind(':');
    const asio::ip::tcp::endpoint endpoint(
        asio::ip::make_address(options.listen.substr(0, colon)),
        static_cast<std::uint16_t>(std::stoul(options.listen.substr(colon + 1))));
    asio::ip::tcp::acceptor acceptor(context, endpoint);

    asio::co_spawn(context, acceptConnections(acceptor, service.handle), asio::detached);
    asio::co_spawn(context, announcer.run(), asio::detached);
    asio::co_spawn(context, leaveOnSignal(context, options, service, announcer), asio::detached);
    if (runTime.count() > 0) {
        asio::co_spawn(context, stopAfter(context, runTime), asio::detached);
    }
    context.run();
    return 0;
}

/// Command line of fakeengine.
struct Arguments {
    using Text = TCLAP::ValueArg<std::string>;
    using Number = TCLAP::ValueArg<std::uint32_t>;

    // TCLAP's own --version would clash with the version of the model.
    TCLAP::CmdLine line{"Stand-in of one backend server for tests and experiments.", ' ', "",
                        false};
    TCLAP::StdOutput helpOutput;
    TCLAP::CmdLineOutput *output = &helpOutput;
    TCLAP::HelpVisitor helpVisitor{&line, &output};
    TCLAP::SwitchArg help{"h", "help", "Shows this text", line, false, &helpVisitor};
    Text listen{"", "listen", "Address to serve on", true, "", "IP:PORT", line};
    Text server{"", "server", "Name it announces", true, "", "NAME", line};
    Text service{"", "service", "Service it announces", true, "", "NAME", line};
    std::vector<std::string> kinds{"engine", "plain"};
    TCLAP::ValuesConstraint<std::string> knownKinds{kinds};
    Text kind{"", "kind", "Kind of the server", false, "engine", &knownKinds, line};
    Text zone{"", "zone", "Availability zone", false, "", "NAME", line};
    Text announce{"", "announce", "Entry hosts, separated by commas", false, "", "LIST", line};
    Text keyFile{"", "backend-key-file", "File with the backend key", false, "", "FILE", line};
    Text model{"", "model", "Model it runs", false, "", "NAME", line};
    Text version{"", "version", "Version of the model", false, "", "TEXT", line};
    Text role{"", "role", "Role", false, "serve", "NAME", line};
    Number slots{"", "slots", "Requests that run at once", false, 16, "N", line};
    Number maxQueue{"", "max-queue", "Requests that may wait", false, 1000, "N", line};
    TCLAP::ValueArg<double> tokenMs{"",   "token-ms", "Decode step or plain call", false, 10,
                                    "MS", line};
    Number prefillUs{"", "prefill-us", "Prefill of a prompt token", false, 100, "US", line};
    Number cacheBlocks{"",  "cache-blocks", "Prefix cache, blocks of 16 tokens", false, 4096, "N",
                       line};
    Number loadLag{"", "load-lag-ms", "Age of the load it reports", false, 500, "MS", line};
    Number latency{"", "latency-ms", "Added to each answer", false, 0, "MS", line};
    Number leaveTime{"", "leave-ms", "Least time from SIGTERM to the end", false, 4000, "MS", line};
    Number runSeconds{"", "run-seconds", "Ends after this time; 0: never", false, 0, "N", line};
    Text crashOn{"", "crash-on", "Crashes on a running body with this", false, "", "TEXT", line};
    Text rejectOn{"", "reject-on", "Answers 400 to a body with this", false, "", "TEXT", line};
    Text runLog{"", "run-log", "File that gets a line per plain call", false, "", "FILE", line};
    TCLAP::SwitchArg ignoreFencing{"", "ignore-fencing", "Obeys old fencing numbers", line};
    TCLAP::SwitchArg noResume{"", "no-resume", "Answers 404 to /v1/resume", line};

    [[nodiscard]] FakeOptions options()
    {
        FakeOptions options;
        options.listen = listen.getValue();
        options.server = server.getValue();
        options.service = service.getValue();
        options.plain = kind.getValue() == "plain";
        options.zone = zone.getValue();
        options.entryHosts = splitList(announce.getValue());
        options.backendKey = readKey(keyFile.getValue());
        options.model = model.getValue();
        options.version = version.getValue();
        options.role = role.getValue();
        options.engine = engineOptions();
        options.maxQueue = maxQueue.getValue();
        options.crashOn = crashOn.getValue();
        options.rejectOn = rejectOn.getValue();
        options.checksFencing = !ignoreFencing.getValue();
        options.resumes = !noResume.getValue();
        options.latency = Milliseconds(latency.getValue());
        options.leaveTime = Milliseconds(leaveTime.getValue());
        options.runLog = runLog.getValue();
        return options;
    }

    [[nodiscard]] EngineOptions engineOptions()
    {
        constexpr double microsPerMilli = 1000;
        EngineOptions options;
        options.slots = slots.getValue();
        options.tokenTime
            = Microseconds(static_cast<std::int64_t>(tokenMs.getValue() * microsPerMilli));
        options.prefillPerToken = Microseconds(prefillUs.getValue());
        options.cacheBlocks = cacheBlocks.getValue();
        options.loadLag = Milliseconds(loadLag.getValue());
        return options;
    }
};

} // namespace
} // namespace persimmonlb

int main(int argc, char **argv)
{
    using namespace persimmonlb;
    try {
        Arguments arguments;
        arguments.line.parse(argc, argv);
        const FakeOptions options = arguments.options();
        return serve(options, std::chrono::seconds(arguments.runSeconds.getValue()));
    } catch (const std::exception &error) {
        std::cerr << "fakeengine: " << error.what() << '\n';
    }
    return usageStatus;
}
