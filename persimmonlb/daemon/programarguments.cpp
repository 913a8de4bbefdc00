#include "persimmonlb/daemon/programarguments.h"

#include <fstream>
#include <iostream>
#include <sstream>

#include <tclap/CmdLine.h>

namespace persimmonlb
{

ProgramArguments parseProgramArguments(int argc, char **argv, const std::string &description)
{
    TCLAP::CmdLine command(
        description + " Exit codes: 0 planned stop, 1 failure, 2 wrong settings.", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> settings("s", "settings", "Settings file (TOML).", true, "",
                                          "file", command);
    TCLAP::SwitchArg check("c", "check-settings", "Check the settings and exit.", command);
    command.parse(argc, argv);
    return ProgramArguments{settings.getValue(), check.getValue()};
}

Result<std::string> readSettingsFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return fail(ResultCode::SettingsInvalid, "cannot read " + path);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void reportFailure(const std::string &program, const Error &error)
{
    std::cerr << program << ": " << describe(error.code).name << ": " << error.message << '\n';
}

} // namespace persimmonlb
