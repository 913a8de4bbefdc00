#pragma once

#include <string>

#include "persimmonlb/base/error.h"

namespace persimmonlb
{

/// Exit codes of the programs that run on hosts.
inline constexpr int exitFailure = 1;
inline constexpr int exitBadSettings = 2;

struct ProgramArguments {
    std::string settingsFile;
    bool checkOnly = false; ///< Check the settings and exit.

    bool operator==(const ProgramArguments &) const = default;
};

/// Reads the command line of a program that runs on a host. Throws TCLAP::ExitException for help,
/// version and wrong arguments.
ProgramArguments parseProgramArguments(int argc, char **argv, const std::string &description);

/// The text of a settings file. Errors: SettingsInvalid.
Result<std::string> readSettingsFile(const std::string &path);

/// Says on standard error why a program ends.
void reportFailure(const std::string &program, const Error &error);

} // namespace persimmonlb
