#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "persimmonlb/base/clock.h"

namespace persimmonlb
{

/// A command line of persimmonlbctl that parsed.
struct CtlOptions {
    std::vector<std::string> words; ///< The command and its arguments.
    std::vector<std::string> hosts; ///< "ip:port" of entry hosts, in the order to ask them.
    std::string keyFile;
    std::string caller;
    std::string operatorName;
    bool json = false;
    Milliseconds timeout{30000};

    bool wait = false;
    bool undo = false;
    bool stream = false;
    std::string service;
    std::string due;
    std::string key;
    std::string out;
    std::string since;
    std::string kind;
    std::string zone;
    std::string region;
    std::uint32_t maxTokens = 0; ///< 0: the service's own default.

    bool operator==(const CtlOptions &) const = default;
};

/// A command line that does not parse; `message` says why.
struct UsageError {
    std::string message;

    bool operator==(const UsageError &) const = default;
};

/// The caller asked for the help text.
struct HelpWanted {
    bool operator==(const HelpWanted &) const = default;
};

/// Parses the arguments after the program's name. `defaultHosts` (a comma list, from
/// PERSIMMONLB_HOSTS) is used without --host.
std::variant<CtlOptions, UsageError, HelpWanted> parseOptions(std::vector<std::string> arguments,
                                                              const std::string &defaultHosts);

} // namespace persimmonlb
