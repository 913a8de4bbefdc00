#include <csignal>
#include <iostream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <tclap/ArgException.h>

#include "persimmonlb/base/logline.h"
#include "persimmonlb/daemon/node.h"
#include "persimmonlb/daemon/programarguments.h"
#include "persimmonlb/daemon/settings.h"

namespace
{

using namespace persimmonlb;

constexpr const char *programName = "persimmonlbd";

struct Configuration {
    Settings settings;
    NodeKeys keys;
};

Result<Configuration> load(const std::string &path)
{
    BOOST_LEAF_AUTO(text, readSettingsFile(path));
    Configuration configuration;
    BOOST_LEAF_ASSIGN(configuration.settings, parseSettings(text));
    const Settings &settings = configuration.settings;
    BOOST_LEAF_ASSIGN(configuration.keys.mesh, readKeyFile(settings.mesh.keyFile));
    BOOST_LEAF_ASSIGN(configuration.keys.operators, readKeyFile(settings.keys.operatorKeyFile));
    BOOST_LEAF_ASSIGN(configuration.keys.backendServers, readKeyFile(settings.keys.backendKeyFile));
    return configuration;
}

int exitCodeOf(const Error &error)
{
    reportFailure(programName, error);
    switch (error.code) {
    case ResultCode::SettingsInvalid:
    case ResultCode::AddressInUse:
    case ResultCode::DataFolderUnusable:
    case ResultCode::CorruptStore:
        return exitBadSettings;
    default:
        return exitFailure;
    }
}

/// A second interrupt, from a terminal, stops at once; a further SIGTERM does not, since the stop
/// that the first one began cuts nobody off.
void waitForSignals(boost::asio::signal_set &signals, Node &node, bool interrupted)
{
    signals.async_wait([&, interrupted](const boost::system::error_code &error, int number) {
        if (error) {
            return;
        }
        LogLine(LogLevel::Info, "signal").add("number", number).write();
        if (number == SIGINT && interrupted) {
            node.stopNow();
        } else {
            node.stop();
        }
        waitForSignals(signals, node, interrupted || number == SIGINT);
    });
}

int run(const Configuration &configuration)
{
    startLogging(configuration.settings.logLevel);
    boost::asio::io_context context;
    Node node(context, configuration.settings, configuration.keys);
    const Outcome<Done> started = capture([&] { return node.start(); });
    if (!started.ok()) {
        return exitCodeOf(started.error());
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    waitForSignals(signals, node, false);
    context.run();
    return node.exitCode();
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    // Settings are read at the start alone; a request to read them again must not end the process.
    std::signal(SIGHUP, SIG_IGN);
    try {
        const ProgramArguments arguments = parseProgramArguments(
            argc, argv, "persimmonlbd serves online and batch inference on one fleet.");
        const auto configuration = capture([&] { return load(arguments.settingsFile); });
        if (!configuration.ok()) {
            return exitCodeOf(configuration.error());
        }
        if (arguments.checkOnly) {
            std::cout << "settings are valid\n";
            return 0;
        }
        const int code = run(configuration.value());
        stopLogging();
        return code;
    } catch (const TCLAP::ExitException &exit) {
        return exit.getExitStatus() == 0 ? 0 : exitBadSettings;
    } catch (const std::exception &error) {
        std::cerr << "persimmonlbd: " << error.what() << '\n';
        return exitFailure;
    }
}
