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

const std::string groupTarget = "/v1/admin/group";
const std::string statusAdvice
    = "Look at: persimmonlbctl group status; repeat the command only if it shows no change.";

void printGroup(const Session &session, const std::string &body)
{
    const Json group = parseObject(body);
    session.out() << "seen by " << textOf(group, "host") << " (" << textOf(group, "role")
                  << "), leader " << textOf(group, "leader") << ", term " << textOf(group, "term")
                  << ", commit " << textOf(group, "commit") << ", applied "
                  << textOf(group, "applied") << ", last " << textOf(group, "last") << '\n';
    Table table({"MEMBER", "VOTER", "MATCH"});
    for (const Json &member : arrayOf(group, "members")) {
        table.addRow({textOf(member, "host"), textOf(member, "voter"), textOf(member, "match")});
    }
    session.out() << table.format(terminalColumns);
}

/// A change of members is sent once: a resend could follow another operator's change.
ApiRequest memberChange(const Session &session, const std::string &target, const Json &body)
{
    ApiRequest request = session.change(target, body.dump());
    request.idempotent = false;
    return request;
}

bool isReplaced(const Json &group, const std::string &lost, const std::string &added)
{
    bool addedVotes = false;
    for (const Json &member : arrayOf(group, "members")) {
        if (textOf(member, "host") == lost) {
            return false;
        }
        if (textOf(member, "host") == added) {
            addedVotes = textOf(member, "voter") == "yes";
        }
    }
    return addedVotes;
}

ExitCode waitReplaced(const Session &session, const std::string &lost, const std::string &added)
{
    ApiAnswer answer;
    const bool done = session.waitUntil([&](std::string &progress) {
        answer = session.call(session.request("GET", groupTarget));
        const Json group = parseObject(answer.body);
        progress = answer.ok() ? "last " + textOf(group, "last") + ", members "
                + std::to_string(arrayOf(group, "members").size())
                               : "no answer yet";
        return answer.ok() && isReplaced(group, lost, added);
    });
    if (answer.ok()) {
        session.finish(answer, "", [&](const std::string &body) { printGroup(session, body); });
    }
    if (done) {
        return ExitCode::Ok;
    }
    session.err() << "Not complete yet; until it is, do not take another member down. "
                  << "Look at: persimmonlbctl group status\n";
    return ExitCode::OutcomeUnknown;
}

} // namespace

ExitCode groupInit(const Session &session)
{
    const Json body{{"members", session.arguments()}};
    const ApiAnswer answer = session.call(memberChange(session, groupTarget + "/init", body));
    return session.finish(answer, statusAdvice, [&](const std::string &) {
        session.out() << "control group started with " << session.arguments().size()
                      << " members\n";
    });
}

ExitCode groupStatus(const Session &session)
{
    const ApiAnswer answer = session.call(session.request("GET", groupTarget));
    return session.finish(answer, "", [&](const std::string &body) { printGroup(session, body); });
}

ExitCode groupReplace(const Session &session)
{
    const std::string lost = session.arguments()[0];
    const std::string added = session.arguments()[1];
    const Json body{{"lost", lost}, {"new", added}};
    const ApiAnswer answer = session.call(memberChange(session, groupTarget + "/replace", body));
    const ExitCode exit = session.finish(answer, statusAdvice, [&](const std::string &) {
        session.out() << "replacing " << lost << " by " << added << '\n';
    });
    if (exit != ExitCode::Ok || !session.options().wait) {
        return exit;
    }
    return waitReplaced(session, lost, added);
}

} // namespace persimmonlb
