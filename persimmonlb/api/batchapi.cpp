#include "persimmonlb/api/batchapi.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

#include "persimmonlb/api/batchlines.h"
#include "persimmonlb/base/digest.h"
#include "persimmonlb/sheet/callerkey.h"
#include "persimmonlb/state/pick.h"

namespace persimmonlb
{

namespace
{

using Json = nlohmann::json;

constexpr std::size_t maxItemsPerCommand = 2000;
constexpr std::size_t maxBytesPerCommand = 1024UL * 1024;
constexpr std::uint32_t itemsPerResultPage = 1000;
constexpr std::chrono::hours defaultTimeToDue{24};
constexpr Milliseconds confirmationTimeout{8000};
constexpr Milliseconds confirmationInterval{50};

std::string_view nameOf(JobState state)
{
    switch (state) {
    case JobState::Open:
        return "open";
    case JobState::Running:
        return "running";
    case JobState::Cancelled:
        return "cancelled";
    case JobState::Finished:
        break;
    }
    return "finished";
}

std::string_view nameOf(ItemState state)
{
    switch (state) {
    case ItemState::Succeeded:
        return "succeeded";
    case ItemState::Cancelled:
        return "cancelled";
    case ItemState::Failed:
        return "failed";
    case ItemState::Leased:
        return "leased";
    case ItemState::Pending:
        break;
    }
    return "pending";
}

Json toJson(const JobSummary &job)
{
    return Json{{"id", job.id.value},
                {"caller", job.caller.value},
                {"service", job.service.value},
                {"state", nameOf(job.state)},
                {"submitted_ms", toMillis(job.submittedAt)},
                {"due_ms", toMillis(job.due)},
                {"total", job.total},
                {"pending", job.pending},
                {"running", job.running},
                {"succeeded", job.succeeded},
                {"failed", job.failed},
                {"cancelled", job.cancelled}};
}

/// Server bodies are JSON as a rule; anything else is given as a string.
Json bodyToJson(const std::string &body)
{
    Json parsed = Json::parse(body, nullptr, false);
    return parsed.is_discarded() ? Json(body) : parsed;
}

std::string toLine(const ItemResult &item)
{
    const Json line{{"index", item.index},          {"custom_id", item.customId},
                    {"state", nameOf(item.state)},  {"attempts", item.attempts},
                    {"status", item.status},        {"code", item.code},
                    {"body", bodyToJson(item.body)}};
    return line.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

/// The same key of the same caller always proposes the same id.
JobId makeJobId(const CallerName &caller, const std::string &key)
{
    constexpr std::size_t digits = 24;
    return JobId{"job-" + sha256Hex(caller.value + "\n" + key).substr(0, digits)};
}

} // namespace

struct BatchApi::Submission {
    OpenJob job;
    std::vector<ItemSpec> items;
    std::size_t next = 0;
    bool existed = false; ///< The job had been accepted before: this is a resend.
    ResponderPtr responder;
};

BatchApi::BatchApi(ApiDeps deps)
    : deps_(std::move(deps))
{
}

void BatchApi::refuse(const CallerName &caller, const std::string &subject, const Error &error,
                      const ResponderPtr &responder)
{
    deps_.refused(caller.value, subject, error);
    respondError(deps_, responder, error);
}

void BatchApi::handle(const HttpRequest &request, const HttpTarget &target,
                      const ResponderPtr &responder)
{
    const CallerName named{std::string(request.headers.find("Persimmonlb-Caller"))};
    if (const auto refusal = deps_.admission()) {
        refuse(named, target.path, *refusal, responder);
        return;
    }
    const auto sheet = deps_.sheet();
    const Outcome<CallerName> caller = capture([&]() -> Result<CallerName> {
        if (!sheet) {
            return fail(ResultCode::NotInForce, "no sheet was accepted yet");
        }
        return authenticateCaller(*sheet, named.value, request.headers.find("Authorization"));
    });
    if (!caller.ok()) {
        refuse(named, target.path, caller.error(), responder);
        return;
    }
    const auto &path = target.segments;
    const bool get = request.method == "GET";
    const bool post = request.method == "POST";
    if (path.size() == 2 && post) {
        submit(request, target, caller.value(), responder);
        return;
    }
    if (path.size() == 2 && get) {
        list(caller.value(), responder);
        return;
    }
    if (path.size() == 3 && get) {
        show(JobId{path[2]}, caller.value(), responder);
        return;
    }
    if (path.size() == 4 && path[3] == "cancel" && post) {
        cancel(JobId{path[2]}, caller.value(), caller.value().value, responder);
        return;
    }
    if (path.size() == 4 && path[3] == "results" && get) {
        std::uint32_t from = 0;
        const auto text = target.parameter("from").value_or("0");
        std::from_chars(text.data(), text.data() + text.size(), from);
        findJob(JobId{path[2]}, caller.value(), responder,
                [this, from, responder](const JobSummary &job) {
                    sendResults(job.id, from, responder, false);
                });
        return;
    }
    const bool known = path.size() <= 4;
    refuse(caller.value(), target.path,
           makeError(known ? ResultCode::MethodNotAllowed : ResultCode::NotFound,
                     request.method + " " + target.path),
           responder);
}

void BatchApi::submit(const HttpRequest &request, const HttpTarget &target,
                      const CallerName &caller, const ResponderPtr &responder)
{
    const auto submission = std::make_shared<Submission>();
    submission->responder = responder;
    const auto checked = capture([&]() -> Result<void> {
        OpenJob &job = submission->job;
        job.caller = caller;
        job.idempotencyKey = request.headers.find("Idempotency-Key");
        if (job.idempotencyKey.empty()) {
            return fail(ResultCode::MissingIdempotencyKey, "a batch job needs an Idempotency-Key");
        }
        job.service = ServiceName{std::string(target.parameter("service").value_or(""))};
        if (deps_.sheet()->findService(job.service) == nullptr) {
            return fail(ResultCode::UnknownService, "no service \"" + job.service.value + "\"");
        }
        job.at = deps_.clock.wall();
        job.due = job.at + defaultTimeToDue;
        if (const auto due = target.parameter("due")) {
            BOOST_LEAF_ASSIGN(job.due, parseDueTime(*due));
        }
        BOOST_LEAF_ASSIGN(submission->items, parseBatchLines(request.body));
        job.itemCount = static_cast<std::uint32_t>(submission->items.size());
        job.bodyDigest = sha256Hex(job.service.value + "\n" + request.body);
        job.id = makeJobId(caller, job.idempotencyKey);
        return {};
    });
    if (!checked.ok()) {
        refuse(caller, target.path, checked.error(), responder);
        return;
    }
    deps_.propose(submission->job, [this, submission](const Outcome<Reply> &reply) {
        const Outcome<JobReply> opened = pick<JobReply>(reply);
        if (!opened.ok() || opened.value().code != ResultCode::Ok || opened.value().sealed) {
            submission->existed = true;
            endSubmission(submission, opened);
            return;
        }
        submission->job.id = opened.value().id;
        addNextItems(submission);
    });
}

void BatchApi::addNextItems(const std::shared_ptr<Submission> &submission)
{
    if (submission->next >= submission->items.size()) {
        seal(submission);
        return;
    }
    AddItems command{submission->job.id, static_cast<std::uint32_t>(submission->next), {}};
    std::size_t bytes = 0;
    while (submission->next < submission->items.size() && command.items.size() < maxItemsPerCommand
           && bytes < maxBytesPerCommand) {
        ItemSpec &item = submission->items[submission->next++];
        bytes += item.body.size();
        command.items.push_back(std::move(item));
    }
    deps_.propose(command, [this, submission](const Outcome<Reply> &reply) {
        const Outcome<JobReply> added = pick<JobReply>(reply);
        if (!added.ok() || added.value().code != ResultCode::Ok) {
            endSubmission(submission, added);
            return;
        }
        addNextItems(submission);
    });
}

void BatchApi::seal(const std::shared_ptr<Submission> &submission)
{
    deps_.propose(SealJob{submission->job.id, deps_.clock.wall()},
                  [this, submission](const Outcome<Reply> &reply) {
                      endSubmission(submission, pick<JobReply>(reply));
                  });
}

void BatchApi::endSubmission(const std::shared_ptr<Submission> &submission,
                             const Outcome<JobReply> &reply)
{
    const OpenJob &job = submission->job;
    if (!reply.ok()) {
        refuse(job.caller, job.id.value, reply.error(), submission->responder);
        return;
    }
    const JobReply &accepted = reply.value();
    if (accepted.code != ResultCode::Ok) {
        refuse(job.caller, job.id.value, makeError(accepted.code, accepted.message),
               submission->responder);
        return;
    }
    const Json answer{{"id", accepted.id.value},
                      {"state", "running"},
                      {"total", job.itemCount},
                      {"existed", submission->existed}};
    constexpr std::uint16_t created = 201;
    respondJson(submission->responder, submission->existed ? 200 : created, answer.dump());
}

void BatchApi::findJob(const JobId &id, const CallerName &caller, const ResponderPtr &responder,
                       std::function<void(const JobSummary &)> found)
{
    deps_.query(
        JobQuery{id},
        [this, id, caller, responder, found = std::move(found)](const Outcome<Answer> &answer) {
            if (!answer.ok()) {
                respondError(deps_, responder, answer.error());
                return;
            }
            const auto *jobs = std::get_if<JobListAnswer>(&answer.value());
            const bool visible = jobs != nullptr && !jobs->jobs.empty()
                && (caller.empty() || jobs->jobs.front().caller == caller);
            if (!visible) {
                respondError(deps_, responder,
                             makeError(ResultCode::NotFound, "no job " + id.value));
                return;
            }
            found(jobs->jobs.front());
        });
}

void BatchApi::show(const JobId &id, const CallerName &caller, const ResponderPtr &responder)
{
    findJob(id, caller, responder, [responder](const JobSummary &job) {
        respondJson(responder, 200, toJson(job).dump());
    });
}

void BatchApi::list(const CallerName &caller, const ResponderPtr &responder)
{
    deps_.query(JobListQuery{caller, 1000}, [this, responder](const Outcome<Answer> &answer) {
        const auto *jobs = answer.ok() ? std::get_if<JobListAnswer>(&answer.value()) : nullptr;
        if (jobs == nullptr) {
            respondError(deps_, responder,
                         answer.ok() ? makeError(ResultCode::Internal, "answer of another kind")
                                     : answer.error());
            return;
        }
        Json rows = Json::array();
        for (const JobSummary &job : jobs->jobs) {
            rows.push_back(toJson(job));
        }
        respondJson(responder, 200, Json{{"jobs", rows}}.dump());
    });
}

void BatchApi::sendResults(const JobId &id, std::uint32_t from, const ResponderPtr &responder,
                           bool started)
{
    deps_.query(ResultsQuery{id, from, itemsPerResultPage},
                [this, id, from, responder, started](const Outcome<Answer> &answer) {
                    const auto *page
                        = answer.ok() ? std::get_if<ResultsAnswer>(&answer.value()) : nullptr;
                    if (page == nullptr) {
                        if (started) {
                            responder->abort();
                            return;
                        }
                        respondError(deps_, responder,
                                     answer.ok() ? makeError(ResultCode::Internal, "no results")
                                                 : answer.error());
                        return;
                    }
                    if (!started) {
                        HttpResponseHead head;
                        head.headers.fields = {{"Content-Type", "application/x-ndjson"}};
                        responder->start(std::move(head));
                    }
                    std::string lines;
                    for (const ItemResult &item : page->items) {
                        lines += toLine(item);
                    }
                    const std::uint32_t next = page->nextIndex;
                    const bool atEnd = next >= page->total || next <= from;
                    if (lines.empty() && atEnd) {
                        responder->finish();
                        return;
                    }
                    responder->write(std::move(lines), [this, id, next, atEnd, responder] {
                        if (atEnd) {
                            responder->finish();
                            return;
                        }
                        sendResults(id, next, responder, true);
                    });
                });
}

void BatchApi::cancel(const JobId &id, const CallerName &caller, const std::string &by,
                      const ResponderPtr &responder)
{
    const CancelJob command{id, caller, by, deps_.clock.wall()};
    deps_.propose(command, [this, id, caller, responder](const Outcome<Reply> &reply) {
        const Outcome<PlainReply> cancelled = [&]() -> Outcome<PlainReply> {
            if (reply.ok() && std::holds_alternative<JobReply>(reply.value())) {
                const JobReply &job = std::get<JobReply>(reply.value());
                return PlainReply{job.code, job.message};
            }
            return pick<PlainReply>(reply);
        }();
        if (!cancelled.ok()) {
            refuse(caller, id.value, cancelled.error(), responder);
            return;
        }
        const ResultCode code = cancelled.value().code;
        if (code != ResultCode::Ok && code != ResultCode::AlreadyCancelled) {
            refuse(caller, id.value, makeError(code, cancelled.value().message), responder);
            return;
        }
        deps_.query(EntryStateQuery{}, [this, id, responder](const Outcome<Answer> &answer) {
            const auto *state
                = answer.ok() ? std::get_if<EntryStateAnswer>(&answer.value()) : nullptr;
            if (state == nullptr) {
                respondError(deps_, responder,
                             makeError(ResultCode::NoQuorum, "cancelled, but not yet confirmed"));
                return;
            }
            awaitConfirmation(id, state->version, deps_.clock.monotonic() + confirmationTimeout,
                              responder);
        });
    });
}

void BatchApi::awaitConfirmation(const JobId &id, std::uint64_t version, MonotonicTime deadline,
                                 const ResponderPtr &responder)
{
    deps_.refreshHosts([this, id, version, deadline,
                        responder](const Outcome<std::vector<EntryHostInfo>> &hosts) {
        const bool confirmed
            = hosts.ok() && std::ranges::all_of(hosts.value(), [&](const EntryHostInfo &host) {
                  return host.leaseLeftMs == 0 || host.entryStateVersion >= version;
              });
        if (confirmed) {
            findJob(id, CallerName(), responder, [responder](const JobSummary &job) {
                respondJson(responder, 200, toJson(job).dump());
            });
            return;
        }
        if (deps_.clock.monotonic() >= deadline) {
            respondError(deps_, responder,
                         makeError(ResultCode::NoQuorum,
                                   "the job is cancelled, but not every entry host has confirmed"));
            return;
        }
        deps_.after(confirmationInterval, [this, id, version, deadline, responder] {
            awaitConfirmation(id, version, deadline, responder);
        });
    });
}

} // namespace persimmonlb
