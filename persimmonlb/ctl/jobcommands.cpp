#include <cstdint>
#include <cstdio>
#include <fstream>
#include <ostream>

#include <nlohmann/json.hpp>

#include "persimmonlb/base/digest.h"
#include "persimmonlb/ctl/commands.h"
#include "persimmonlb/ctl/internal/jsontext.h"
#include "persimmonlb/ctl/moment.h"
#include "persimmonlb/ctl/table.h"

namespace persimmonlb
{

using Json = nlohmann::json;

namespace
{

constexpr std::uint16_t serviceUnavailable = 503;

std::string jobTarget(const std::string &id)
{
    return "/v1/batches/" + urlEncode(id);
}

std::string countsOf(const Json &job)
{
    return textOf(job, "succeeded") + " succeeded, " + textOf(job, "failed") + " failed, "
        + textOf(job, "cancelled") + " cancelled, " + textOf(job, "running") + " running, "
        + textOf(job, "pending") + " pending of " + textOf(job, "total");
}

void printJob(const Session &session, const std::string &body)
{
    const Json job = parseObject(body);
    session.out() << "job        " << textOf(job, "id") << '\n'
                  << "state      " << textOf(job, "state") << '\n'
                  << "caller     " << textOf(job, "caller") << '\n'
                  << "service    " << textOf(job, "service") << '\n'
                  << "submitted  " << formatMoment(numberOf(job, "submitted_ms")) << " UTC\n"
                  << "due        " << formatMoment(numberOf(job, "due_ms")) << " UTC\n"
                  << "items      " << countsOf(job) << '\n';
}

void printJobs(const Session &session, const std::string &body)
{
    Table table({"ID", "CALLER", "SERVICE", "STATE", "DUE (UTC)", "DONE", "FAILED", "TOTAL"});
    const Json listed = parseObject(body);
    for (const Json &job : arrayOf(listed, "jobs")) {
        table.addRow({textOf(job, "id"), textOf(job, "caller"), textOf(job, "service"),
                      textOf(job, "state"), formatMoment(numberOf(job, "due_ms")),
                      textOf(job, "succeeded"), textOf(job, "failed"), textOf(job, "total")});
    }
    session.out() << table.format(terminalColumns);
}

bool hasEnded(const Json &job)
{
    const std::string state = textOf(job, "state");
    const bool nothingLeft = numberOf(job, "running") + numberOf(job, "pending") == 0;
    return state == "finished" || (state == "cancelled" && nothingLeft);
}

/// Writes beside the file and renames, so that a broken answer leaves no half file behind.
bool replaceFile(const std::string &path, const std::string &text)
{
    const std::string temporary = path + ".part";
    std::ofstream file(temporary, std::ios::binary);
    file << text << std::flush;
    const bool written = file.good();
    file.close();
    return written && std::rename(temporary.c_str(), path.c_str()) == 0;
}

} // namespace

ExitCode jobSubmit(const Session &session)
{
    const CtlOptions &options = session.options();
    const std::string &path = session.arguments().front();
    const auto due = parseMoment(options.due, session.now());
    if (options.service.empty() || (!due && !options.due.empty())) {
        return session.usage("job submit needs --service NAME, and --due is a time");
    }
    const auto items = readFile(path);
    if (!items || items->empty()) {
        return session.usage("cannot read " + path + ", or it is empty");
    }
    const std::string key
        = options.key.empty() ? sha256Hex(options.service + "\n" + *items) : options.key;
    std::string target = "/v1/batches?service=" + urlEncode(options.service);
    if (due) {
        target += "&due=" + std::to_string(due->time_since_epoch().count());
    }
    ApiRequest request = session.change(target, *items);
    request.headers.fields.push_back({"Content-Type", "application/jsonl"});
    request.headers.fields.push_back({"Idempotency-Key", key});
    const std::string advice
        = "Repeat the same command with --key " + key + ": the job is accepted only once.";
    return session.finish(session.call(request), advice, [&](const std::string &body) {
        const Json job = parseObject(body);
        const bool existed = textOf(job, "existed") == "yes";
        session.out() << "job " << textOf(job, "id") << (existed ? " was already" : "")
                      << " accepted: " << textOf(job, "total") << " items, state "
                      << textOf(job, "state") << ", key " << key << '\n';
    });
}

ExitCode jobList(const Session &session)
{
    const bool all = !session.options().operatorName.empty();
    const ApiAnswer answer
        = session.call(session.request("GET", all ? "/v1/admin/jobs" : "/v1/batches"));
    return session.finish(answer, "", [&](const std::string &body) { printJobs(session, body); });
}

ExitCode jobShow(const Session &session)
{
    const ApiAnswer answer
        = session.call(session.request("GET", jobTarget(session.arguments().front())));
    return session.finish(answer, "", [&](const std::string &body) { printJob(session, body); });
}

ExitCode jobResults(const Session &session)
{
    const std::string &path = session.options().out;
    const ApiAnswer answer
        = session.call(session.request("GET", jobTarget(session.arguments().front()) + "/results"));
    if (!answer.ok()) {
        return session.reportFailure(answer, "Repeat the same command.");
    }
    if (path.empty()) {
        session.out() << answer.body;
        return ExitCode::Ok;
    }
    if (!replaceFile(path, answer.body)) {
        return session.usage("cannot write " + path);
    }
    return ExitCode::Ok;
}

ExitCode jobCancel(const Session &session)
{
    const std::string id = session.arguments().front();
    const bool byOperator = !session.options().operatorName.empty();
    const std::string target
        = byOperator ? "/v1/admin/jobs/" + urlEncode(id) + "/cancel" : jobTarget(id) + "/cancel";
    const std::string advice = "Repeat: persimmonlbctl job cancel " + id;
    return session.finish(session.call(session.change(target, "")), advice,
                          [&](const std::string &body) { printJob(session, body); });
}

ExitCode jobWait(const Session &session)
{
    const std::string id = session.arguments().front();
    ApiAnswer answer;
    const bool done = session.waitUntil([&](std::string &progress) {
        answer = session.call(session.request("GET", jobTarget(id)));
        const Json job = parseObject(answer.body);
        progress = answer.ok() ? countsOf(job) : "no answer yet";
        const bool refusedForGood
            = answer.exit == ExitCode::Refused && answer.status != serviceUnavailable;
        return refusedForGood || (answer.ok() && hasEnded(job));
    });
    if (!answer.ok()) {
        return session.reportFailure(answer, "Repeat: persimmonlbctl job wait " + id);
    }
    session.finish(answer, "", [&](const std::string &body) { printJob(session, body); });
    if (done) {
        return ExitCode::Ok;
    }
    session.err() << "Not ended yet. Repeat: persimmonlbctl job wait " << id << '\n';
    return ExitCode::OutcomeUnknown;
}

} // namespace persimmonlb
