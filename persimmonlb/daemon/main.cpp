#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <tclap/CmdLine.h>

#include "persimmonlb/base/logline.h"
#include "persimmonlb/daemon/node.h"
#include "persimmonlb/daemon/settings.h"

namespace
{

using namespace persimmonlb;

constexpr int exitFailure = 1;
constexpr int exitBadSettings = 2;

struct Arguments {
    std::string settingsFile;
    bool checkOnly = false;
};

struct Configuration {
    Settings settings;
    NodeKeys keys;
};

Arguments parseArguments(int argc, char **argv)
{
    TCLAP::CmdLine command("persimmonlbd serves online and batch inference on one fleet. "
                           "Exit codes: 0 planned stop, 1 failure, 2 wrong settings.",
                           ' ', "0.1.0");
    TCLAP::ValueArg<std::string> settings("s", "settings", "Settings file (TOML).", true, "",
                                          "file", command);
    TCLAP::SwitchArg check("c", "check-settings", "Check the settings and exit.", command);
    command.parse(argc, argv);
    return Arguments{settings.getValue(), check.getValue()};
}

Result<Configuration> load(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return fail(ResultCode::SettingsInvalid, "cannot read " + path);
    }
    std::ostringstream text;
    text << file.rdbuf();
    Configuration configuration;
    BOOST_LEAF_ASSIGN(configuration.settings, parseSettings(text.str()));
    const Settings &settings = configuration.settings;
    BOOST_LEAF_ASSIGN(configuration.keys.mesh, readKeyFile(settings.mesh.keyFile));
    BOOST_LEAF_ASSIGN(configuration.keys.operators, readKeyFile(settings.keys.operatorKeyFile));
    BOOST_LEAF_ASSIGN(configuration.keys.backendServers, readKeyFile(settings.keys.backendKeyFile));
    return configuration;
}

int reportFailure(const Error &error)
{
    std::cerr << "persimmonlbd: " << describe(error.code).name << ": " << error.message << '\n';
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

void waitForSignals(boost::asio::signal_set &signals, Node &node)
{
    signals.async_wait([&signals, &node](const boost::system::error_code &error, int number) {
        if (error) {
            return;
        }
        LogLine(LogLevel::Info, "signal").add("number", number).write();
        node.stop();
        waitForSignals(signals, node);
    });
}

int run(const Configuration &configuration)
{
    startLogging(configuration.settings.logLevel);
    boost::asio::io_context context;
    Node node(context, configuration.settings, configuration.keys);
    const Outcome<Done> started = capture([&] { return node.start(); });
    if (!started.ok()) {
        return reportFailure(started.error());
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    waitForSignals(signals, node);
    context.run();
    return node.exitCode();
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const Arguments arguments = parseArguments(argc, argv);
        const auto configuration = capture([&] { return load(arguments.settingsFile); });
        if (!configuration.ok()) {
            return reportFailure(configuration.error());
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
