#include "persimmonlb/jobs/internal/records.h"

#include "persimmonlb/state/commandfields.h"

namespace persimmonlb
{

template <>
inline constexpr JobState lastEnumerator<JobState> = JobState::Finished;
template <>
inline constexpr ItemState lastEnumerator<ItemState> = ItemState::Cancelled;
template <>
inline constexpr ItemPhase lastEnumerator<ItemPhase> = ItemPhase::Cancelled;

} // namespace persimmonlb

namespace persimmonlb::internal
{

template <typename Visitor, Like<JobRecord> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("id", value.id);
    visitor("caller", value.caller);
    visitor("key", value.idempotencyKey);
    visitor("service", value.service);
    visitor("due", value.due);
    visitor("submittedAt", value.submittedAt);
    visitor("digest", value.bodyDigest);
    visitor("itemCount", value.itemCount);
    visitor("state", value.state);
    visitor("succeeded", value.succeeded);
    visitor("failed", value.failed);
}

template <typename Visitor, Like<ItemRecord> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("phase", value.phase);
    visitor("lease", value.lease);
    visitor("failures", value.failures);
    visitor("round", value.eligibleRound);
    visitor("idempotent", value.idempotent);
    visitor("host", value.owner.host);
    visitor("incarnation", value.owner.incarnation);
    visitor("sequence", value.sequence);
}

template <typename Visitor, Like<ResultRecord> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("state", value.state);
    visitor("attempts", value.attempts);
    visitor("status", value.status);
    visitor("code", value.code);
    visitor("body", value.body);
}

template <typename Visitor, Like<SequenceRecord> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("incarnation", value.incarnation);
    visitor("sequence", value.sequence);
}

namespace
{

template <typename Record>
std::optional<Record> decode(std::string_view bytes)
{
    auto record = decodeFields<Record>(bytes);
    if (!record.ok()) {
        return std::nullopt;
    }
    return std::move(record.value());
}

} // namespace

std::string encode(const JobRecord &record)
{
    return encodeFields(record);
}

std::string encode(const ItemRecord &record)
{
    return encodeFields(record);
}

std::string encode(const ResultRecord &record)
{
    return encodeFields(record);
}

std::string encode(const SequenceRecord &record)
{
    return encodeFields(record);
}

std::string encode(const ItemSpec &item)
{
    return encodeFields(item);
}

std::optional<JobRecord> decodeJobRecord(std::string_view bytes)
{
    return decode<JobRecord>(bytes);
}

std::optional<ItemRecord> decodeItemRecord(std::string_view bytes)
{
    return decode<ItemRecord>(bytes);
}

std::optional<ResultRecord> decodeResultRecord(std::string_view bytes)
{
    return decode<ResultRecord>(bytes);
}

std::optional<SequenceRecord> decodeSequenceRecord(std::string_view bytes)
{
    return decode<SequenceRecord>(bytes);
}

std::optional<ItemSpec> decodeItemSpec(std::string_view bytes)
{
    return decode<ItemSpec>(bytes);
}

} // namespace persimmonlb::internal
