#include <algorithm>
#include <cstdint>
#include <functional>
#include <ostream>

#include <nlohmann/json.hpp>

#include "persimmonlb/ctl/commands.h"
#include "persimmonlb/ctl/internal/jsontext.h"
#include "persimmonlb/ctl/table.h"

namespace persimmonlb
{

using Json = nlohmann::json;

namespace
{

/// Asks the first host that answers, and prints what it knows.
ExitCode showFleet(const Session &session, const std::function<void(const Json &)> &print)
{
    const ApiAnswer answer = session.call(session.request("GET", "/v1/fleet"));
    return session.finish(answer, "", [&](const std::string &body) { print(parseObject(body)); });
}

/// The highest version of the routes that any host has in force.
std::int64_t newestRoutes(const Json &fleet)
{
    std::int64_t newest = numberOf(fleet, "routes_version");
    for (const Json &host : arrayOf(fleet, "hosts")) {
        newest = std::max(newest, numberOf(host, "routes_version"));
    }
    return newest;
}

} // namespace

ExitCode fleetStatus(const Session &session)
{
    return showFleet(session, [&session](const Json &fleet) {
        session.out() << "seen by " << textOf(fleet, "name") << " (" << textOf(fleet, "host")
                      << "), leader " << textOf(fleet, "leader") << ", term "
                      << textOf(fleet, "term") << ", view " << textOf(fleet, "view_version")
                      << ", routes " << textOf(fleet, "routes_version") << '\n';
        if (!textOf(fleet, "parent").empty()) {
            session.out() << "reports to " << textOf(fleet, "parent")
                          << ", last word of the leader " << textOf(fleet, "leader_age_ms")
                          << " ms ago\n";
        }
        const auto group = fleet.find("group");
        if (group == fleet.end()) {
            session.out() << "this host stores nothing; ask a storage host for the group\n";
            return;
        }
        session.out() << textOf(*group, "role") << ", commit " << textOf(*group, "commit")
                      << ", applied " << textOf(*group, "applied") << ", change of members "
                      << textOf(*group, "change_in_progress") << '\n';
        Table table({"MEMBER", "VOTER", "MATCH"});
        for (const Json &member : arrayOf(*group, "members")) {
            table.addRow(
                {textOf(member, "member"), textOf(member, "voter"), textOf(member, "match")});
        }
        session.out() << table.format(terminalColumns);
    });
}

ExitCode fleetHosts(const Session &session)
{
    return showFleet(session, [&session](const Json &fleet) {
        const std::int64_t newest = newestRoutes(fleet);
        Table table({"HOST", "NAME", "ZONE", "CALLERS", "MEMBER", "DRAINS", "ROUTES", "AGE"});
        for (const Json &host : arrayOf(fleet, "hosts")) {
            // A host that reports to another one says nothing of its routes here.
            const bool behind
                = host.contains("routes_version") && numberOf(host, "routes_version") < newest;
            table.addRow(
                {textOf(host, "host"), textOf(host, "name"), textOf(host, "availability_zone"),
                 textOf(host, "callers"), textOf(host, "member"), textOf(host, "draining"),
                 textOf(host, "routes_version") + (behind ? " old" : ""), textOf(host, "age_ms")});
        }
        session.out() << table.format(terminalColumns);
    });
}

ExitCode fleetServers(const Session &session)
{
    return showFleet(session, [&session](const Json &fleet) {
        Table table({"SERVER", "SERVICE", "ADDRESS", "ZONE", "SLOTS", "DRAINS"});
        for (const Json &server : arrayOf(fleet, "servers")) {
            table.addRow({textOf(server, "server"), textOf(server, "service"),
                          textOf(server, "address"), textOf(server, "availability_zone"),
                          textOf(server, "slots"), textOf(server, "draining")});
        }
        session.out() << table.format(terminalColumns);
    });
}

ExitCode fleetJobs(const Session &session)
{
    return showFleet(session, [&session](const Json &fleet) {
        Table table({"JOB", "ROUTE", "ITEMS", "LISTED", "ENDED", "DUE"});
        for (const Json &job : arrayOf(fleet, "jobs")) {
            table.addRow({textOf(job, "job"), textOf(job, "route"), textOf(job, "items"),
                          textOf(job, "listed"), textOf(job, "ended_by_caller"),
                          textOf(job, "due_ms")});
        }
        session.out() << table.format(terminalColumns);
    });
}

} // namespace persimmonlb
