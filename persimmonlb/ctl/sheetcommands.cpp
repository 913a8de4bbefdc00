#include <ostream>

#include <nlohmann/json.hpp>

#include "persimmonlb/ctl/commands.h"
#include "persimmonlb/ctl/internal/jsontext.h"
#include "persimmonlb/ctl/moment.h"
#include "persimmonlb/ctl/sheetcheck.h"
#include "persimmonlb/ctl/table.h"

namespace persimmonlb
{

using Json = nlohmann::json;

namespace
{

const std::string statusTarget = "/v1/admin/sheet/status";

void printStatus(const Session &session, const std::string &body)
{
    const Json status = parseObject(body);
    const bool everywhere = textOf(status, "in_force_everywhere") == "yes";
    session.out() << "sheet " << numberOf(status, "number") << ": "
                  << (everywhere ? "in force everywhere" : "not yet in force everywhere") << '\n';
    Table table({"HOST", "SHEET", "LEASE LEFT", "DRAINING"});
    for (const Json &host : arrayOf(status, "hosts")) {
        table.addRow({textOf(host, "host"), textOf(host, "number"),
                      textOf(host, "lease_left_ms") + " ms", textOf(host, "draining")});
    }
    session.out() << table.format(terminalColumns);
}

std::string progressOf(const Json &status)
{
    std::size_t confirmed = 0;
    const Json &hosts = arrayOf(status, "hosts");
    for (const Json &host : hosts) {
        confirmed += numberOf(host, "number") >= numberOf(status, "number") ? 1 : 0;
    }
    return std::to_string(confirmed) + " of " + std::to_string(hosts.size()) + " hosts have sheet "
        + textOf(status, "number");
}

/// Waits until a sheet with at least this number is in force everywhere.
ExitCode waitInForce(const Session &session, std::int64_t number)
{
    ApiAnswer answer;
    const bool done = session.waitUntil([&](std::string &progress) {
        answer = session.call(session.request("GET", statusTarget));
        const Json status = parseObject(answer.body);
        progress = answer.ok() ? progressOf(status) : "no answer yet";
        return answer.ok() && numberOf(status, "number") >= number
            && textOf(status, "in_force_everywhere") == "yes";
    });
    if (!answer.ok()) {
        return session.reportFailure(answer, "Repeat: persimmonlbctl sheet status --wait");
    }
    const ExitCode shown
        = session.finish(answer, "", [&](const std::string &body) { printStatus(session, body); });
    if (done) {
        return shown;
    }
    session.err() << "Not yet in force everywhere. Repeat: persimmonlbctl sheet status --wait\n";
    return ExitCode::OutcomeUnknown;
}

} // namespace

ExitCode sheetCheck(const Session &session)
{
    const std::string &path = session.arguments().front();
    const auto text = readFile(path);
    if (!text) {
        return session.usage("cannot read " + path);
    }
    const SheetCheck check = checkSheet(*text);
    if (!check.ok) {
        return session.usage(path + ": " + check.message);
    }
    session.out() << path << ": " << check.message << '\n';
    return ExitCode::Ok;
}

ExitCode sheetApply(const Session &session)
{
    const std::string &path = session.arguments().front();
    const auto text = readFile(path);
    if (!text) {
        return session.usage("cannot read " + path);
    }
    const std::string advice = "Repeat the same command: the same sheet is accepted only once.";
    const ApiAnswer answer = session.call(session.change("/v1/admin/sheet", *text));
    const Json reply = parseObject(answer.body);
    const ExitCode exit = session.finish(answer, advice, [&](const std::string &) {
        const bool again
            = numberOf(reply, "code") == static_cast<int>(ResultCode::SheetAlreadyAccepted);
        session.out() << "sheet " << textOf(reply, "number")
                      << (again ? " was already accepted" : " accepted") << ", digest "
                      << textOf(reply, "digest") << '\n';
    });
    if (exit != ExitCode::Ok || !session.options().wait) {
        return exit;
    }
    return waitInForce(session, numberOf(reply, "number"));
}

ExitCode sheetShow(const Session &session)
{
    const ApiAnswer answer = session.call(session.request("GET", "/v1/admin/sheet"));
    return session.finish(answer, "", [&](const std::string &body) {
        const Json sheet = parseObject(body);
        session.out() << "# sheet " << textOf(sheet, "number") << ", accepted "
                      << formatMoment(numberOf(sheet, "accepted_ms")) << " UTC by "
                      << textOf(sheet, "by") << ", digest " << textOf(sheet, "digest") << '\n'
                      << textOf(sheet, "text");
    });
}

ExitCode sheetStatus(const Session &session)
{
    if (session.options().wait) {
        return waitInForce(session, 1);
    }
    const ApiAnswer answer = session.call(session.request("GET", statusTarget));
    return session.finish(answer, "", [&](const std::string &body) { printStatus(session, body); });
}

} // namespace persimmonlb
