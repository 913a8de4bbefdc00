#include "persimmonlb/audit/audittrail.h"

#include <algorithm>

#include "persimmonlb/state/commandfields.h"
#include "persimmonlb/state/keys.h"

namespace persimmonlb
{

namespace
{

constexpr std::size_t maxTextBytes = 1024;
constexpr std::size_t maxRecordsPerBatch = 1000;
constexpr std::uint32_t maxRecordsPerAnswer = 10'000;
constexpr std::uint64_t maxExaminedPerQuery = 20'000;
constexpr std::size_t maxBytesPerAnswer = std::size_t{4} * 1024 * 1024;
constexpr std::uint64_t batchWindow = 64;

/// auditbatch/: which batches of a host were taken.
struct BatchWindow {
    Incarnation incarnation = 0;
    std::uint64_t highest = 0;
    std::uint64_t taken = 0; ///< Bit n: batch highest - n was taken.
};

template <typename Visitor, Like<BatchWindow> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("incarnation", value.incarnation);
    visitor("highest", value.highest);
    visitor("taken", value.taken);
}

/// Marks a batch as taken; false when it was before or is too old to tell.
bool take(BatchWindow &window, std::uint64_t batch)
{
    if (batch > window.highest) {
        const std::uint64_t shift = batch - window.highest;
        window.taken = shift < batchWindow ? window.taken << shift : 0;
        window.taken |= 1;
        window.highest = batch;
        return true;
    }
    const std::uint64_t age = window.highest - batch;
    if (age >= batchWindow || ((window.taken >> age) & 1U) != 0) {
        return false;
    }
    window.taken |= std::uint64_t{1} << age;
    return true;
}

void bound(std::string &text)
{
    if (text.size() > maxTextBytes) {
        text.resize(maxTextBytes);
    }
}

} // namespace

AuditTrail::AuditTrail(StateStore store)
    : store_(std::move(store))
{
}

void AuditTrail::append(AuditRecord record, MutationList &changes)
{
    record.sequence = next_;
    ++next_;
    bound(record.kind);
    bound(record.who);
    bound(record.subject);
    bound(record.detail);
    changes.push_back({keys::audit(record.sequence), encodeFields(record)});
    changes.push_back({keys::counter("audit"), keys::number(next_)});
}

PlainReply AuditTrail::appendBatch(const AppendAudit &command, MutationList &changes)
{
    const std::string key = keys::auditBatch(command.owner.host);
    const auto bytes = store_.get(key);
    BatchWindow window;
    if (bytes) {
        const auto known = decodeFields<BatchWindow>(*bytes);
        window = known.ok() ? known.value() : window;
    }
    if (command.owner.incarnation < window.incarnation) {
        return PlainReply{.code = ResultCode::NotInForce, .message = "an older incarnation"};
    }
    if (command.owner.incarnation > window.incarnation) {
        window = BatchWindow{.incarnation = command.owner.incarnation};
    }
    if (!take(window, command.batch)) {
        return {};
    }
    changes.push_back({key, encodeFields(window)});
    const std::size_t count = std::min(command.records.size(), maxRecordsPerBatch);
    for (std::size_t i = 0; i < count; ++i) {
        append(command.records[i], changes);
    }
    return {};
}

AuditAnswer AuditTrail::list(const AuditQuery &query) const
{
    AuditAnswer answer{.records = {}, .nextAfter = query.afterSequence};
    const std::uint32_t limit = std::min(query.limit, maxRecordsPerAnswer);
    std::uint64_t examined = 0;
    std::size_t bytesTaken = 0;
    while (answer.nextAfter + 1 < next_ && answer.records.size() < limit
           && examined < maxExaminedPerQuery && bytesTaken < maxBytesPerAnswer) {
        ++answer.nextAfter;
        ++examined;
        const auto bytes = store_.get(keys::audit(answer.nextAfter));
        const auto record = decodeFields<AuditRecord>(bytes.value_or(""));
        if (!record.ok() || record.value().at < query.since
            || (!query.kind.empty() && record.value().kind != query.kind)) {
            continue;
        }
        bytesTaken += bytes->size();
        answer.records.push_back(record.value());
    }
    answer.more = answer.nextAfter + 1 < next_;
    return answer;
}

std::uint64_t AuditTrail::last() const
{
    return next_ - 1;
}

Result<void> AuditTrail::reload()
{
    const auto next = store_.get(keys::counter("audit"));
    next_ = next ? keys::parseNumber(*next).value_or(1) : 1;
    return {};
}

} // namespace persimmonlb
