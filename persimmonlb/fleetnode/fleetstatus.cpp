#include "persimmonlb/fleetnode/fleetstatus.h"

#include <exception>
#include <utility>

#include <nlohmann/json.hpp>

#include "persimmonlb/base/logline.h"

namespace persimmonlb
{

namespace
{

using Json = nlohmann::json;

Json groupJson(const GroupStatus &group)
{
    Json members = Json::array();
    for (const MemberStatus &member : group.members) {
        members.push_back(
            {{"member", member.host.value}, {"voter", member.voter}, {"match", member.matchIndex}});
    }
    return {{"role", toString(group.role)},
            {"term", group.term},
            {"commit", group.commitIndex},
            {"applied", group.appliedIndex},
            {"change_in_progress", group.changeInProgress},
            {"members", std::move(members)}};
}

Json hostsJson(const std::vector<ReportedHost> &hosts)
{
    Json list = Json::array();
    for (const ReportedHost &known : hosts) {
        Json host{{"host", known.host.value},
                  {"name", known.report.name},
                  {"availability_zone", known.report.availabilityZone.value},
                  {"callers", known.report.address},
                  {"draining", known.report.draining}};
        if (known.age) {
            host["member"] = known.report.member.value;
            host["routes_version"] = known.report.routesVersion;
            host["view_term"] = known.report.viewTerm;
            host["view_version"] = known.report.viewVersion;
            host["followers"] = known.report.followers;
            host["followers_behind"] = known.report.followersBehind;
            host["age_ms"] = known.age->count();
        }
        list.push_back(std::move(host));
    }
    return list;
}

Json serversJson(const std::vector<FleetServer> &servers)
{
    Json list = Json::array();
    for (const FleetServer &server : servers) {
        list.push_back({{"server", server.id.value},
                        {"service", server.service.value},
                        {"address", server.address},
                        {"availability_zone", server.availabilityZone.value},
                        {"slots", server.slots},
                        {"draining", server.draining},
                        {"born_ms", server.bornMs}});
    }
    return list;
}

Json jobsJson(const std::vector<std::pair<JobId, BulkJob>> &jobs)
{
    Json list = Json::array();
    for (const auto &[id, job] : jobs) {
        list.push_back({{"job", id.value},
                        {"route", job.route},
                        {"items", job.items.size()},
                        {"listed", job.resultCount},
                        {"ended_by_caller", job.ended},
                        {"due_ms", job.dueAt.time_since_epoch().count()}});
    }
    return list;
}

} // namespace

std::string formatFleetStatus(const FleetStatus &status)
{
    Json json{{"host", status.host.value},
              {"name", status.name},
              {"leader", status.view.leader.value},
              {"term", status.view.term},
              {"view_version", status.view.version},
              {"parent", status.parent.value},
              {"leader_age_ms", status.leaderAge.count()},
              {"routes_version", status.routesVersion},
              {"servers", serversJson(status.view.servers)},
              {"hosts", hostsJson(status.hosts)},
              {"jobs", jobsJson(status.jobs)}};
    if (status.group) {
        json["group"] = groupJson(*status.group);
    }
    // Callers choose the ids of jobs, which may be any bytes.
    return json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

HttpResponse answerRead(const char *contentType, const std::function<std::string()> &read)
{
    constexpr std::uint16_t success = 200;
    constexpr std::uint16_t internalError = 500;
    try {
        return {success, {{{"Content-Type", contentType}}}, read()};
    } catch (const std::exception &error) {
        LogLine(LogLevel::Error, "read_failed").add("why", error.what()).write();
        return {internalError, {{{"Content-Type", "text/plain"}}}, "the read failed\n"};
    }
}

} // namespace persimmonlb
