#include "persimmonlb/ctl/options.h"

#include <algorithm>
#include <sstream>

#include <tclap/CmdLine.h>

namespace persimmonlb
{

namespace
{

using Text = TCLAP::ValueArg<std::string>;
using Switch = TCLAP::SwitchArg;

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

/// The options of all commands; which of them a command heeds is in the help text.
struct Line {
    TCLAP::CmdLine line{"", ' ', "", false};
    Text hosts{"", "host", "", false, "", "LIST", line};
    Text keyFile{"", "key-file", "", false, "", "FILE", line};
    Text caller{"", "caller", "", false, "", "NAME", line};
    Text operatorName{"", "operator", "", false, "", "NAME", line};
    Text service{"", "service", "", false, "", "NAME", line};
    Text due{"", "due", "", false, "", "TIME", line};
    Text key{"", "key", "", false, "", "KEY", line};
    Text out{"", "out", "", false, "", "FILE", line};
    Text since{"", "since", "", false, "", "TIME", line};
    Text kind{"", "kind", "", false, "", "KIND", line};
    Text zone{"", "zone", "", false, "", "ZONE", line};
    Text region{"", "region", "", false, "", "REGION", line};
    TCLAP::ValueArg<double> timeout{"", "timeout", "", false, 30, "SECONDS", line};
    TCLAP::ValueArg<std::uint32_t> maxTokens{"", "max-tokens", "", false, 0, "N", line};
    Switch json{"", "json", "", line};
    Switch wait{"", "wait", "", line};
    Switch undo{"", "undo", "", line};
    Switch stream{"", "stream", "", line};
    TCLAP::UnlabeledMultiArg<std::string> words{"command", "Command", true, "COMMAND", line};

    CtlOptions options(const std::string &defaultHosts)
    {
        constexpr double millisPerSecond = 1000;
        CtlOptions options;
        options.words = words.getValue();
        options.hosts = splitList(hosts.isSet() ? hosts.getValue() : defaultHosts);
        options.keyFile = keyFile.getValue();
        options.caller = caller.getValue();
        options.operatorName = operatorName.getValue();
        options.json = json.getValue();
        options.timeout
            = Milliseconds(static_cast<std::int64_t>(timeout.getValue() * millisPerSecond));
        options.wait = wait.getValue();
        options.undo = undo.getValue();
        options.stream = stream.getValue();
        options.service = service.getValue();
        options.due = due.getValue();
        options.key = key.getValue();
        options.out = out.getValue();
        options.since = since.getValue();
        options.kind = kind.getValue();
        options.zone = zone.getValue();
        options.region = region.getValue();
        options.maxTokens = maxTokens.getValue();
        return options;
    }
};

} // namespace

std::variant<CtlOptions, UsageError, HelpWanted> parseOptions(std::vector<std::string> arguments,
                                                              const std::string &defaultHosts)
{
    const auto asksHelp = [](const std::string &argument) {
        return argument == "--help" || argument == "-h";
    };
    if (std::any_of(arguments.begin(), arguments.end(), asksHelp)) {
        return HelpWanted{};
    }
    arguments.insert(arguments.begin(), "persimmonlbctl");
    try {
        Line line;
        line.line.setExceptionHandling(false);
        line.line.parse(arguments);
        CtlOptions options = line.options(defaultHosts);
        for (const std::string &word : options.words) {
            // TCLAP takes an option that it does not know as a word.
            if (word.size() > 1 && word.front() == '-') {
                return UsageError{"no option " + word};
            }
        }
        if (options.timeout <= Milliseconds(0)) {
            return UsageError{"--timeout must be above 0"};
        }
        return options;
    } catch (const TCLAP::ArgException &error) {
        return UsageError{error.error() + " " + error.argId()};
    }
}

} // namespace persimmonlb
