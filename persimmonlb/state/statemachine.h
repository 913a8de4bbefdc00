#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "persimmonlb/base/error.h"
#include "persimmonlb/store/statestore.h"

namespace persimmonlb
{

/// What the replicated log drives. Deterministic: the same commands give the same state and
/// replies on every member, whatever the host's clock or random source.
struct StateMachine {
    /// Applies the committed command at `index` and returns the encoded reply. Changes of keyed
    /// state are appended to `changes`; the caller writes them with the applied index in one
    /// atomic batch before the next call. A command that does not decode changes nothing and gives
    /// an encoded error reply.
    std::function<std::string(std::uint64_t index, std::string_view command, MutationList &changes)>
        apply;

    /// Drops everything held in memory and reads it anew from the state store: at start and after
    /// a snapshot was installed. Errors: CorruptStore.
    std::function<Result<void>()> reload;
};

} // namespace persimmonlb
