#include "persimmonlb/ctl/commands.h"

#include <array>
#include <cstddef>
#include <utility>
#include <vector>

namespace persimmonlb
{

namespace
{

constexpr std::size_t anyNumber = 1000;

struct CommandInfo {
    std::string_view group;
    std::string_view verb; ///< Empty for a command of one word.
    std::size_t leastArguments;
    std::size_t mostArguments;
    ExitCode (*run)(const Session &);
    std::string_view usage;
    std::string_view summary;
};

constexpr auto commands = std::to_array<CommandInfo>({
    {"sheet", "check", 1, 1, sheetCheck, "sheet check FILE", "Check a sheet; asks no host."},
    {"sheet", "apply", 1, 1, sheetApply, "sheet apply FILE [--wait]", "Put a sheet in force."},
    {"sheet", "show", 0, 0, sheetShow, "sheet show", "The sheet in force."},
    {"sheet", "status", 0, 0, sheetStatus, "sheet status [--wait]",
     "Which hosts have it in force."},
    {"job", "submit", 1, 1, jobSubmit, "job submit --service S [--due T] FILE [--key K]",
     "Submit a file of JSON lines."},
    {"job", "list", 0, 0, jobList, "job list", "Jobs of the caller; of all with --operator."},
    {"job", "show", 1, 1, jobShow, "job show ID", "State and counts of a job."},
    {"job", "results", 1, 1, jobResults, "job results ID [--out FILE]", "Results so far."},
    {"job", "cancel", 1, 1, jobCancel, "job cancel ID", "Cancel what has not ended."},
    {"job", "wait", 1, 1, jobWait, "job wait ID", "Wait until a job has ended."},
    {"host", "list", 0, 0, hostList, "host list", "Entry hosts and their leases."},
    {"host", "drain", 1, 1, hostDrain, "host drain HOST [--undo]", "Plan the stop of a host."},
    {"server", "list", 0, 0, serverList, "server list", "Backend servers as one host sees them."},
    {"group", "init", 1, anyNumber, groupInit, "group init HOST...",
     "Start a new control group, once."},
    {"group", "status", 0, 0, groupStatus, "group status", "Members and log of the group."},
    {"group", "replace", 2, 2, groupReplace, "group replace LOST NEW [--wait]",
     "Replace a lost member."},
    {"fleet", "status", 0, 0, fleetStatus, "fleet status",
     "Leader, group and routes of a platform's fleet; --host: metrics addresses."},
    {"fleet", "hosts", 0, 0, fleetHosts, "fleet hosts", "Its hosts, with the routes in force."},
    {"fleet", "servers", 0, 0, fleetServers, "fleet servers", "Its backend servers."},
    {"fleet", "jobs", 0, 0, fleetJobs, "fleet jobs", "Its bulk jobs."},
    {"audit", "list", 0, 0, auditList, "audit list [--since T] [--kind K]", "The audit trail."},
    {"entry-hosts", "", 0, 0, entryHosts, "entry-hosts [--zone Z] [--region R]",
     "Entry hosts for callers."},
    {"ask", "", 1, 1, ask, "ask TEXT --service S [--stream] [--max-tokens N]", "One chat request."},
});

const CommandInfo *findCommand(const std::vector<std::string> &words)
{
    for (const CommandInfo &command : commands) {
        if (words.front() != command.group) {
            continue;
        }
        if (command.verb.empty() || (words.size() > 1 && words[1] == command.verb)) {
            return &command;
        }
    }
    return nullptr;
}

} // namespace

ExitCode runCommand(Session &session)
{
    const std::vector<std::string> &words = session.options().words;
    const CommandInfo *command = findCommand(words);
    if (command == nullptr) {
        return session.usage("no command \"" + words.front()
                             + (words.size() > 1 ? " " + words[1] : "") + "\"; see --help");
    }
    const std::ptrdiff_t named = command->verb.empty() ? 1 : 2;
    std::vector<std::string> arguments(words.begin() + named, words.end());
    if (arguments.size() < command->leastArguments || arguments.size() > command->mostArguments) {
        return session.usage("usage: persimmonlbctl " + std::string(command->usage));
    }
    session.setArguments(std::move(arguments));
    return command->run(session);
}

std::string helpText()
{
    std::string text = "Usage: persimmonlbctl [OPTION...] COMMAND [ARGUMENT...]\n\nCommands:\n";
    for (const CommandInfo &command : commands) {
        text
            += "  " + std::string(command.usage) + "\n      " + std::string(command.summary) + "\n";
    }
    text += R"(
Options of every command:
  --host IP:PORT[,IP:PORT...]  Entry hosts, asked in this order; default from PERSIMMONLB_HOSTS
  --key-file FILE              File with the bearer key, readable by its owner alone
  --caller NAME                Name of the caller
  --operator NAME              Name of the operator
  --json                       Print the server's JSON
  --timeout SECONDS            For an answer, or a whole --wait; default 30

Times: 2026-12-04T06:00:00Z, epoch milliseconds, or a distance such as +6h or -30m.

Exit status:
  0  done
  1  refused by the system; code, name, message and run state were printed
  2  wrong usage, or a file that cannot be read or does not check
  3  no entry host could be reached; nothing was changed
  4  the outcome is not known, or a wait ran out of time; what to repeat was printed
)";
    return text;
}

} // namespace persimmonlb
