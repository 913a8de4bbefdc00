#pragma once

#include "persimmonlb/state/cborfields.h"
#include "persimmonlb/state/command.h"

/// Field lists of the structs of command.h that more than one codec uses. For .cpp files only.
namespace persimmonlb
{

template <>
inline constexpr ClaimState lastEnumerator<ClaimState> = ClaimState::Conflict;

template <typename Visitor, Like<Owner> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("host", value.host);
    visitor("incarnation", value.incarnation);
}

template <typename Visitor, Like<ItemSpec> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("customId", value.customId);
    visitor("idempotent", value.idempotent);
    visitor("body", value.body);
}

template <typename Visitor, Like<ClaimKey> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("caller", value.caller);
    visitor("key", value.idempotencyKey);
}

template <typename Visitor, Like<RecordedAnswer> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("status", value.status);
    visitor("contentType", value.contentType);
    visitor("body", value.body);
}

template <typename Visitor, Like<ClaimReply> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("state", value.state);
    visitor("owner", value.owner);
    visitor("answer", value.answer);
}

template <typename Visitor, Like<AuditRecord> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("sequence", value.sequence);
    visitor("at", value.at);
    visitor("kind", value.kind);
    visitor("who", value.who);
    visitor("subject", value.subject);
    visitor("code", value.code);
    visitor("count", value.count);
    visitor("detail", value.detail);
}

template <typename Visitor, Like<PlainReply> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("code", value.code);
    visitor("message", value.message);
}

} // namespace persimmonlb
