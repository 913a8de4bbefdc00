#pragma once

#include <variant>

#include "persimmonlb/base/error.h"
#include "persimmonlb/state/command.h"
#include "persimmonlb/state/query.h"

namespace persimmonlb
{

/// The reply as the kind that its command promises. A PlainReply with a code other than Ok is that
/// error; a reply of another kind is Internal.
template <typename Value>
Outcome<Value> pick(const Outcome<Reply> &reply)
{
    if (!reply.ok()) {
        return reply.error();
    }
    if (const Value *value = std::get_if<Value>(&reply.value())) {
        return *value;
    }
    const auto *plain = std::get_if<PlainReply>(&reply.value());
    if (plain != nullptr && plain->code != ResultCode::Ok) {
        return makeError(plain->code, plain->message);
    }
    return makeError(ResultCode::Internal, "the control group sent a reply of another kind");
}

/// The answer as the kind that its query promises; an answer of another kind is Internal.
template <typename Value>
Outcome<Value> pick(const Outcome<Answer> &answer)
{
    if (!answer.ok()) {
        return answer.error();
    }
    if (const Value *value = std::get_if<Value>(&answer.value())) {
        return *value;
    }
    return makeError(ResultCode::Internal, "the control group sent an answer of another kind");
}

} // namespace persimmonlb
