#include "persimmonlb/state/query.h"

#include "persimmonlb/state/cborvariant.h"
#include "persimmonlb/state/commandfields.h"
#include "persimmonlb/state/fleetfields.h"

namespace persimmonlb
{

template <>
inline constexpr JobState lastEnumerator<JobState> = JobState::Finished;
template <>
inline constexpr ItemState lastEnumerator<ItemState> = ItemState::Cancelled;

template <typename Visitor, Like<SheetQuery> Value>
void visitFields(Visitor & /*visitor*/, Value & /*value*/)
{
}

template <typename Visitor, Like<SheetAnswer> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("number", value.number);
    visitor("digest", value.digest);
    visitor("text", value.text);
    visitor("by", value.by);
    visitor("acceptedAt", value.acceptedAt);
}

template <typename Visitor, Like<JobQuery> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("id", value.id);
}

template <typename Visitor, Like<JobListQuery> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("caller", value.caller);
    visitor("limit", value.limit);
}

template <typename Visitor, Like<JobSummary> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("id", value.id);
    visitor("caller", value.caller);
    visitor("service", value.service);
    visitor("state", value.state);
    visitor("submittedAt", value.submittedAt);
    visitor("due", value.due);
    visitor("total", value.total);
    visitor("pending", value.pending);
    visitor("running", value.running);
    visitor("succeeded", value.succeeded);
    visitor("failed", value.failed);
    visitor("cancelled", value.cancelled);
}

template <typename Visitor, Like<JobListAnswer> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("jobs", value.jobs);
}

template <typename Visitor, Like<ResultsQuery> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("id", value.id);
    visitor("firstIndex", value.firstIndex);
    visitor("limit", value.limit);
}

template <typename Visitor, Like<ItemResult> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("index", value.index);
    visitor("customId", value.customId);
    visitor("state", value.state);
    visitor("attempts", value.attempts);
    visitor("status", value.status);
    visitor("code", value.code);
    visitor("body", value.body);
}

template <typename Visitor, Like<ResultsAnswer> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("found", value.found);
    visitor("jobState", value.jobState);
    visitor("total", value.total);
    visitor("items", value.items);
    visitor("nextIndex", value.nextIndex);
}

template <typename Visitor, Like<ClaimQuery> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("key", value.key);
}

template <typename Visitor, Like<AuditQuery> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("since", value.since);
    visitor("kind", value.kind);
    visitor("afterSequence", value.afterSequence);
    visitor("limit", value.limit);
}

template <typename Visitor, Like<AuditAnswer> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("records", value.records);
    visitor("nextAfter", value.nextAfter);
    visitor("more", value.more);
}

template <typename Visitor, Like<EntryStateQuery> Value>
void visitFields(Visitor & /*visitor*/, Value & /*value*/)
{
}

template <typename Visitor, Like<Conviction> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("fingerprint", value.fingerprint);
    visitor("until", value.until);
}

template <typename Visitor, Like<EntryStateAnswer> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("version", value.version);
    visitor("convictions", value.convictions);
    visitor("suspects", value.suspects);
    visitor("draining", value.draining);
    visitor("cancelledRecently", value.cancelledRecently);
}

template <>
inline constexpr std::string_view typeName<SheetQuery> = "sheet_query";
template <>
inline constexpr std::string_view typeName<JobQuery> = "job_query";
template <>
inline constexpr std::string_view typeName<JobListQuery> = "job_list_query";
template <>
inline constexpr std::string_view typeName<ResultsQuery> = "results_query";
template <>
inline constexpr std::string_view typeName<ClaimQuery> = "claim_query";
template <>
inline constexpr std::string_view typeName<AuditQuery> = "audit_query";
template <>
inline constexpr std::string_view typeName<EntryStateQuery> = "entry_state_query";
template <>
inline constexpr std::string_view typeName<PlainReply> = "plain_reply";
template <>
inline constexpr std::string_view typeName<SheetAnswer> = "sheet_answer";
template <>
inline constexpr std::string_view typeName<JobListAnswer> = "job_list_answer";
template <>
inline constexpr std::string_view typeName<ResultsAnswer> = "results_answer";
template <>
inline constexpr std::string_view typeName<ClaimReply> = "claim_reply";
template <>
inline constexpr std::string_view typeName<AuditAnswer> = "audit_answer";
template <>
inline constexpr std::string_view typeName<EntryStateAnswer> = "entry_state_answer";

std::string encodeQuery(const Query &query)
{
    return encodeVariant(query);
}

Outcome<Query> decodeQuery(std::string_view bytes)
{
    return decodeVariant(parseCbor(bytes), std::type_identity<Query>{});
}

std::string encodeAnswer(const Answer &answer)
{
    return encodeVariant(answer);
}

Outcome<Answer> decodeAnswer(std::string_view bytes)
{
    return decodeVariant(parseCbor(bytes), std::type_identity<Answer>{});
}

} // namespace persimmonlb
