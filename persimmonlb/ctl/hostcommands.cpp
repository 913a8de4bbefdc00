#include <ostream>

#include <nlohmann/json.hpp>

#include "persimmonlb/ctl/commands.h"
#include "persimmonlb/ctl/internal/jsontext.h"
#include "persimmonlb/ctl/table.h"

namespace persimmonlb
{

using Json = nlohmann::json;

ExitCode hostList(const Session &session)
{
    const ApiAnswer answer = session.call(session.request("GET", "/v1/admin/hosts"));
    return session.finish(answer, "", [&](const std::string &body) {
        Table table({"HOST", "ADDRESS", "ZONE", "SHEET", "LEASE LEFT", "DRAINING"});
        const Json listed = parseObject(body);
        for (const Json &host : arrayOf(listed, "hosts")) {
            table.addRow({textOf(host, "host"), textOf(host, "address"),
                          textOf(host, "availability_zone"), textOf(host, "number"),
                          textOf(host, "lease_left_ms") + " ms", textOf(host, "draining")});
        }
        session.out() << table.format(terminalColumns);
    });
}

ExitCode hostDrain(const Session &session)
{
    const std::string host = session.arguments().front();
    const bool drain = !session.options().undo;
    const std::string body = Json{{"draining", drain}}.dump();
    const ApiAnswer answer
        = session.call(session.change("/v1/admin/hosts/" + urlEncode(host) + "/drain", body));
    const std::string advice
        = "Repeat: persimmonlbctl host drain " + host + (drain ? "" : " --undo");
    return session.finish(answer, advice, [&](const std::string &) {
        session.out() << "host " << host << (drain ? " is asked to drain" : " is back in service")
                      << '\n';
    });
}

ExitCode serverList(const Session &session)
{
    const ApiAnswer answer = session.call(session.request("GET", "/v1/admin/servers"));
    return session.finish(answer, "", [&](const std::string &body) {
        Table table({"SERVER", "ADDRESS", "SERVICE", "STATE", "MODEL", "VERSION", "AGE", "ONL",
                     "BATCH", "RUN", "QUEUE"});
        const Json listed = parseObject(body);
        for (const Json &server : arrayOf(listed, "servers")) {
            table.addRow(
                {textOf(server, "server"), textOf(server, "address"), textOf(server, "service"),
                 textOf(server, "state"), textOf(server, "model"), textOf(server, "version"),
                 textOf(server, "age_ms"), textOf(server, "online"), textOf(server, "batch"),
                 textOf(server, "running"), textOf(server, "queued")});
        }
        session.out() << table.format(terminalColumns);
    });
}

ExitCode entryHosts(const Session &session)
{
    const CtlOptions &options = session.options();
    const ApiAnswer answer = session.call(
        session.request("GET",
                        "/v1/entry-hosts?availability_zone=" + urlEncode(options.zone)
                            + "&region=" + urlEncode(options.region)));
    return session.finish(answer, "", [&](const std::string &body) {
        const Json directory = parseObject(body);
        Table table({"ADDRESS", "ZONE", "REGION"});
        for (const Json &host : arrayOf(directory, "hosts")) {
            table.addRow({textOf(host, "address"), textOf(host, "availability_zone"),
                          textOf(host, "region")});
        }
        session.out() << table.format(terminalColumns) << "valid for "
                      << textOf(directory, "ttl_ms") << " ms\n";
    });
}

} // namespace persimmonlb
