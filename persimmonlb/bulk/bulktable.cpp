#include "persimmonlb/bulk/bulktable.h"

#include <utility>

#include "persimmonlb/state/fleetfields.h"
#include "persimmonlb/state/keys.h"

namespace persimmonlb
{

template <typename Visitor, Like<BulkItem> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("id", value.id);
    visitor("tokens", value.tokens);
    visitor("phase", value.phase);
    visitor("attempts", value.attempts);
}

template <typename Visitor, Like<BulkJob> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("route", value.route);
    visitor("host", value.host);
    visitor("customer", value.customer);
    visitor("submittedAt", value.submittedAt);
    visitor("dueAt", value.dueAt);
    visitor("abandonAt", value.abandonAt);
    visitor("keepUntil", value.keepUntil);
    visitor("maxAttempts", value.maxAttempts);
    visitor("ended", value.ended);
    visitor("listed", value.resultCount);
    visitor("items", value.items);
}

BulkTable::BulkTable(StateStore store)
    : store_(std::move(store))
{
}

std::uint64_t BulkTable::waitingTokens(const std::string &route, const CustomerName &customer) const
{
    std::uint64_t tokens = 0;
    for (const auto &[id, job] : jobs_) {
        if (job.ended || job.route != route || job.customer != customer) {
            continue;
        }
        for (const BulkItem &item : job.items) {
            tokens += item.phase == BulkItemPhase::Waiting ? item.tokens : 0;
        }
    }
    return tokens;
}

void BulkTable::write(const JobId &id, const BulkJob &job, MutationList &changes)
{
    ++version_;
    changes.push_back({keys::bulkJob(id), encodeFields(job)});
}

PlainReply BulkTable::accept(const AcceptBulk &command, MutationList &changes)
{
    if (jobs_.contains(command.id)) {
        return {};
    }
    std::uint64_t tokens = 0;
    for (const BulkItemSpec &item : command.items) {
        tokens += item.tokens;
    }
    if (command.maxWaitingTokens > 0
        && waitingTokens(command.route, command.customer) + tokens > command.maxWaitingTokens) {
        return {.code = ResultCode::QuotaExceeded,
                .message = "the tokens waiting on this route would exceed its limit"};
    }
    BulkJob job{.route = command.route,
                .host = command.host,
                .customer = command.customer,
                .submittedAt = command.at,
                .dueAt = command.at + command.dueAfter,
                .abandonAt = command.at + command.abandonAfter,
                .keepUntil = command.at + command.keepFor,
                .maxAttempts = command.maxAttempts,
                .ended = false,
                .resultCount = 0,
                .items = {}};
    for (const BulkItemSpec &item : command.items) {
        changes.push_back({keys::bulkItem(command.id, static_cast<std::uint32_t>(job.items.size())),
                           encodeFields(item)});
        job.items.push_back({.id = item.id, .tokens = item.tokens});
    }
    write(command.id, job, changes);
    jobs_.emplace(command.id, std::move(job));
    return {};
}

PlainReply BulkTable::record(const RecordBulk &command, MutationList &changes)
{
    const auto found = jobs_.find(command.id);
    if (found == jobs_.end() || found->second.ended) {
        return {.code = ResultCode::NotFound,
                .message = "no open bulk job with id " + command.id.value};
    }
    BulkJob &job = found->second;
    PlainReply reply;
    for (const BulkOutcome &outcome : command.outcomes) {
        if (outcome.index >= job.items.size()
            || job.items[outcome.index].phase != BulkItemPhase::Waiting) {
            continue;
        }
        BulkItem &item = job.items[outcome.index];
        std::string output = outcome.output;
        if (outcome.fromCount > 0) {
            const auto saved = progress(command.id, outcome.index);
            if (!saved || saved->count != outcome.fromCount) {
                reply = {.code = ResultCode::MalformedRequest,
                         .message = "the output does not continue the saved progress"};
                continue;
            }
            output.insert(0, saved->output);
        }
        if (outcome.phase == BulkItemPhase::Waiting) {
            if (outcome.attempt != item.attempts + 1) {
                continue;
            }
            ++item.attempts;
            if (item.attempts < job.maxAttempts) {
                continue;
            }
        }
        item.phase
            = outcome.phase == BulkItemPhase::Waiting ? BulkItemPhase::DeadLettered : outcome.phase;
        changes.push_back({keys::bulkProgress(command.id, outcome.index), std::nullopt});
        const BulkResult result{.id = item.id, .phase = item.phase, .output = std::move(output)};
        changes.push_back({keys::bulkResult(command.id, job.resultCount), encodeFields(result)});
        ++job.resultCount;
    }
    write(command.id, job, changes);
    return reply;
}

PlainReply BulkTable::end(const EndBulk &command, MutationList &changes)
{
    const auto found = jobs_.find(command.id);
    if (found == jobs_.end()) {
        return {.code = ResultCode::NotFound, .message = "no bulk job with id " + command.id.value};
    }
    if (!found->second.ended) {
        found->second.ended = true;
        ++endVersion_;
        write(command.id, found->second, changes);
    }
    return {};
}

void BulkTable::saveProgress(const SaveBulkProgress &command, MutationList &changes)
{
    for (const BulkProgress &part : command.parts) {
        const auto job = jobs_.find(part.id);
        if (job == jobs_.end() || !job->second.isOpen() || part.index >= job->second.items.size()
            || job->second.items[part.index].phase != BulkItemPhase::Waiting) {
            continue;
        }
        BulkProgress saved = part;
        if (part.fromCount > 0) {
            const auto before = progress(part.id, part.index);
            if (!before || before->count != part.fromCount) {
                continue;
            }
            saved.output.insert(0, before->output);
            saved.fromCount = 0;
        }
        changes.push_back({keys::bulkProgress(part.id, part.index), encodeFields(saved)});
    }
}

void BulkTable::expire(WallTime at, MutationList &changes)
{
    for (auto entry = jobs_.begin(); entry != jobs_.end();) {
        const auto &[id, job] = *entry;
        if (job.isOpen() || at < job.keepUntil) {
            ++entry;
            continue;
        }
        for (std::uint32_t index = 0; index < job.items.size(); ++index) {
            changes.push_back({keys::bulkItem(id, index), std::nullopt});
            changes.push_back({keys::bulkResult(id, index), std::nullopt});
            changes.push_back({keys::bulkProgress(id, index), std::nullopt});
        }
        changes.push_back({keys::bulkJob(id), std::nullopt});
        ++version_;
        entry = jobs_.erase(entry);
    }
}

BulkPage BulkTable::page(const BulkPageQuery &query) const
{
    const auto found = jobs_.find(query.id);
    if (found == jobs_.end()) {
        return {};
    }
    const BulkJob &job = found->second;
    BulkPage page{
        .found = true, .total = static_cast<std::uint32_t>(job.items.size()), .results = {}};
    std::size_t bytes = 0;
    for (std::uint32_t position = query.after; position < job.resultCount; ++position) {
        const auto stored = store_.get(keys::bulkResult(query.id, position));
        const auto result = stored ? decodeFields<BulkResult>(*stored)
                                   : Outcome<BulkResult>(makeError(ResultCode::CorruptStore, ""));
        if (!result.ok()) {
            break;
        }
        bytes += result.value().output.size();
        if (bytes > query.maxBytes && !page.results.empty()) {
            break;
        }
        page.results.push_back(result.value());
    }
    return page;
}

BulkBody BulkTable::body(const BulkBodyQuery &query) const
{
    const auto found = jobs_.find(query.id);
    if (found == jobs_.end() || found->second.ended) {
        return {};
    }
    std::uint32_t index = 0;
    for (const BulkItem &item : found->second.items) {
        if (item.id == query.item) {
            const auto stored = spec(query.id, index);
            return {.found = stored.has_value(), .body = stored ? stored->body : ""};
        }
        ++index;
    }
    return {};
}

const std::map<JobId, BulkJob> &BulkTable::jobs() const
{
    return jobs_;
}

std::optional<BulkItemSpec> BulkTable::spec(const JobId &id, std::uint32_t index) const
{
    const auto stored = store_.get(keys::bulkItem(id, index));
    if (!stored) {
        return std::nullopt;
    }
    auto decoded = decodeFields<BulkItemSpec>(*stored);
    if (!decoded.ok()) {
        return std::nullopt;
    }
    return std::move(decoded.value());
}

std::optional<BulkProgress> BulkTable::progress(const JobId &id, std::uint32_t index) const
{
    const auto stored = store_.get(keys::bulkProgress(id, index));
    if (!stored) {
        return std::nullopt;
    }
    auto decoded = decodeFields<BulkProgress>(*stored);
    if (!decoded.ok()) {
        return std::nullopt;
    }
    return std::move(decoded.value());
}

std::uint64_t BulkTable::version() const
{
    return version_;
}

std::uint64_t BulkTable::endVersion() const
{
    return endVersion_;
}

Result<void> BulkTable::reload()
{
    jobs_.clear();
    ++endVersion_;
    ++version_;
    std::string unreadableKey;
    store_.scan(keys::bulkJobPrefix, [&](std::string_view key, std::string_view value) {
        auto job = decodeFields<BulkJob>(value);
        if (!job.ok()) {
            unreadableKey = key;
            return false;
        }
        jobs_.emplace(JobId{std::string(key.substr(keys::bulkJobPrefix.size()))},
                      std::move(job.value()));
        return true;
    });
    if (!unreadableKey.empty()) {
        return fail(ResultCode::CorruptStore,
                    "cannot decode the bulk job under key " + unreadableKey);
    }
    return {};
}

} // namespace persimmonlb
