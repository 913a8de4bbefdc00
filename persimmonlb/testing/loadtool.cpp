#include <algorithm>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

#include <boost/asio/io_context.hpp>
#include <tclap/CmdLine.h>

#include "persimmonlb/testing/experiment.h"
#include "persimmonlb/testing/internal/phaserunner.h"
#include "persimmonlb/testing/report.h"

/// loadtool: open-loop load and experiments (docs/LOADTOOL.md).
namespace persimmonlb
{
namespace
{

constexpr int usageStatus = 2;
constexpr int faultStatus = 1;

std::string readText(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

template <typename Value>
std::vector<Value> splitList(const std::string &text)
{
    std::vector<Value> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        std::istringstream word(part);
        Value value;
        if (word >> value) {
            parts.push_back(value);
        }
    }
    return parts;
}

struct Arguments {
    using Text = TCLAP::ValueArg<std::string>;

    TCLAP::CmdLine line{"Open-loop load and experiments; writes a JSON report.", ' ', "0.1.0"};
    Text experiment{"", "experiment", "Experiment file (TOML)", true, "", "FILE", line};
    Text hosts{"", "hosts", "Entry hosts, separated by commas", true, "", "LIST", line};
    TCLAP::SwitchArg direct{"", "direct", "--hosts are backend servers", line};
    Text out{"", "out", "Report file; default: standard output", false, "", "FILE", line};
    Text zone{"", "zone", "Availability zone of the caller", false, "", "NAME", line};
    Text caller{"", "caller", "Name of the caller", false, "", "NAME", line};
    Text keyFile{"", "key-file", "File with the caller's key", false, "", "FILE", line};
    Text label{"", "label", "Label of the report", false, "", "TEXT", line};
    Text baseline{"", "baseline", "Policy of the daemons; a label only", false, "", "TEXT", line};
    Text engines{"", "engines", "Stand-in engines to ask for prefix hits", false, "", "LIST", line};
    Text pids{"", "daemon-pids", "Processes whose processor time to read", false, "", "LIST", line};
    TCLAP::ValueArg<int> killPid{"",    "kill-pid", "Process that a phase may end", false, 0,
                                 "PID", line};
    TCLAP::MultiArg<std::string> phases{"", "phase", "Run only this phase", false, "NAME", line};
};

bool isWanted(const std::vector<std::string> &names, const std::string &name)
{
    return names.empty() || std::find(names.begin(), names.end(), name) != names.end();
}

std::size_t faultsOf(const PhaseReport &phase)
{
    return phase.online.wrong + phase.online.shortAnswers + phase.plain.wrong
        + phase.plain.shortAnswers + phase.batch.wrong;
}

int runExperiment(Arguments &arguments, const Experiment &experiment)
{
    boost::asio::io_context context(1);
    const auto client = HttpClient::create(context, HttpClientOptions{});
    CallerOptions options;
    options.hosts = splitList<std::string>(arguments.hosts.getValue());
    options.direct = arguments.direct.getValue();
    options.zone = arguments.zone.getValue();
    options.caller = arguments.caller.getValue();
    std::istringstream(readText(arguments.keyFile.getValue())) >> options.key;
    EntryCaller caller(context, *client, options, seededRandom(experiment.seed));
    const ProbeOptions probes{splitList<std::string>(arguments.engines.getValue()),
                              splitList<int>(arguments.pids.getValue()),
                              arguments.killPid.getValue()};
    std::vector<std::unique_ptr<PhaseReport>> reports;
    std::vector<const PhaseReport *> rows;
    std::size_t faults = 0;
    for (const Phase &phase : experiment.phases) {
        if (!isWanted(arguments.phases.getValue(), phase.name)) {
            continue;
        }
        reports.push_back(std::make_unique<PhaseReport>());
        runPhase(context, *client, caller, probes, phase, experiment.seed, *reports.back());
        rows.push_back(reports.back().get());
        faults += faultsOf(*reports.back());
        std::cerr << "phase " << phase.name << " done\n";
    }
    const RunLabels labels{arguments.label.getValue(), arguments.baseline.getValue(),
                           experiment.seed, options.hosts.size(), options.direct};
    const std::string text = formatReport(labels, rows);
    if (arguments.out.getValue().empty()) {
        std::cout << text;
    } else {
        std::ofstream(arguments.out.getValue()) << text;
    }
    return faults == 0 ? 0 : faultStatus;
}

int runArguments(int argc, char **argv)
{
    Arguments arguments;
    arguments.line.parse(argc, argv);
    const std::string text = readText(arguments.experiment.getValue());
    const Outcome<Experiment> experiment = capture([&] { return parseExperiment(text); });
    if (!experiment.ok()) {
        std::cerr << "loadtool: " << arguments.experiment.getValue() << ": "
                  << experiment.error().message << '\n';
        return usageStatus;
    }
    return runExperiment(arguments, experiment.value());
}

} // namespace
} // namespace persimmonlb

int main(int argc, char **argv)
{
    return persimmonlb::runArguments(argc, argv);
}
