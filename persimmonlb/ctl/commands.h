#pragma once

#include <string>
#include <string_view>

#include "persimmonlb/ctl/exitcode.h"
#include "persimmonlb/ctl/session.h"

namespace persimmonlb
{

/// Runs the command that the options name.
ExitCode runCommand(Session &session);

/// Text of --help.
std::string helpText();

// The commands, by group. The number of arguments has been checked.

ExitCode sheetCheck(const Session &session);
ExitCode sheetApply(const Session &session);
ExitCode sheetShow(const Session &session);
ExitCode sheetStatus(const Session &session);

ExitCode jobSubmit(const Session &session);
ExitCode jobList(const Session &session);
ExitCode jobShow(const Session &session);
ExitCode jobResults(const Session &session);
ExitCode jobCancel(const Session &session);
ExitCode jobWait(const Session &session);

ExitCode hostList(const Session &session);
ExitCode hostDrain(const Session &session);
ExitCode serverList(const Session &session);
ExitCode entryHosts(const Session &session);

ExitCode groupInit(const Session &session);
ExitCode groupStatus(const Session &session);
ExitCode groupReplace(const Session &session);

ExitCode fleetStatus(const Session &session);
ExitCode fleetHosts(const Session &session);
ExitCode fleetServers(const Session &session);
ExitCode fleetJobs(const Session &session);

ExitCode auditList(const Session &session);
ExitCode ask(const Session &session);

} // namespace persimmonlb
