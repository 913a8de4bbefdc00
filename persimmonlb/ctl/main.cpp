#include <chrono>
#include <cstdlib>
#include <iostream>
#include <thread>
#include <unistd.h>
#include <variant>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/ctl/commands.h"
#include "persimmonlb/ctl/httpcall.h"
#include "persimmonlb/ctl/options.h"
#include "persimmonlb/ctl/session.h"
#include "persimmonlb/daemon/settings.h"

/// persimmonlbctl: the operators' and callers' tool (docs/CTL.md).
namespace persimmonlb
{
namespace
{

/// Asks the hosts in turn, over a new connection for each attempt.
SessionHooks systemHooks(const CtlOptions &options)
{
    const auto callAll = [&options](const ApiRequest &request, HttpCallOptions callOptions) {
        callOptions.timeout = options.timeout;
        return callWithFailover(options.hosts, request,
                                [&](const std::string &host, const ApiRequest &one) {
                                    return httpCall(host, one, callOptions);
                                });
    };
    SessionHooks hooks;
    hooks.call = [callAll](const ApiRequest &request) {
        return callAll(request, {});
    };
    hooks.stream
        = [callAll](const ApiRequest &request, std::function<void(const std::string &)> chunk) {
              HttpCallOptions callOptions;
              callOptions.chunk = std::move(chunk);
              return callAll(request, callOptions);
          };
    hooks.now = systemClock().wall;
    hooks.sleep = [](Milliseconds time) {
        std::this_thread::sleep_for(time);
    };
    hooks.terminal = isatty(STDERR_FILENO) == 1;
    return hooks;
}

ExitCode run(const CtlOptions &options)
{
    std::string key;
    if (!options.keyFile.empty()) {
        const Outcome<std::string> read = capture([&] { return readKeyFile(options.keyFile); });
        if (!read.ok()) {
            std::cerr << "persimmonlbctl: " << read.error().message << '\n';
            return ExitCode::Usage;
        }
        key = read.value();
    }
    Session session(options, key, systemHooks(options), std::cout, std::cerr);
    return runCommand(session);
}

int runArguments(std::vector<std::string> arguments)
{
    const char *hosts = std::getenv("PERSIMMONLB_HOSTS");
    const auto parsed = parseOptions(std::move(arguments), hosts == nullptr ? "" : hosts);
    if (std::holds_alternative<HelpWanted>(parsed)) {
        std::cout << helpText();
        return static_cast<int>(ExitCode::Ok);
    }
    if (const auto *error = std::get_if<UsageError>(&parsed)) {
        std::cerr << "persimmonlbctl: " << error->message << "; see --help\n";
        return static_cast<int>(ExitCode::Usage);
    }
    return static_cast<int>(run(std::get<CtlOptions>(parsed)));
}

} // namespace
} // namespace persimmonlb

int main(int argc, char **argv)
{
    return persimmonlb::runArguments({argv + 1, argv + argc});
}
