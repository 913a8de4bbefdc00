#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "persimmonlb/base/error.h"
#include "persimmonlb/state/command.h"
#include "persimmonlb/store/statestore.h"

namespace persimmonlb
{

/// Remembers how commands of clients were decided, so that a copy of one is not decided again.
///
/// Replies are kept in the state store until their client says that it no longer waits for them;
/// in memory stand only the numbers of the commands. At most `maxSessions` sessions are kept: the
/// one that was least recently used is forgotten first, with its replies.
///
/// Deterministic: depends on commands and their log index alone. Not thread-safe.
class CommandSessions
{
public:
    static constexpr std::size_t maxSessions = 4096;

    explicit CommandSessions(StateStore store);

    /// Returns the encoded reply for a copy that must not be applied: the recorded one, or
    /// OutcomeUnknown if the client no longer waits for the command. Returns nothing for a command
    /// that has to be applied.
    [[nodiscard]] std::optional<std::string> replyOfCopy(const CommandOrigin &origin) const;
    /// Records the reply of a command that was applied at a log index.
    void record(const CommandOrigin &origin, std::uint64_t index, const std::string &reply,
                MutationList &changes);

    /// Replaces all sessions by those in the state store. Errors: CorruptStore.
    Result<void> reload();

private:
    struct Session {
        std::uint64_t oldestPending = 0;
        std::uint64_t lastIndex = 0; ///< Of the last command.
        std::set<std::uint64_t> decided; ///< Sequence numbers from `oldestPending` on.
    };

    void forgetReplies(std::uint64_t id, Session &session, std::uint64_t before,
                       MutationList &changes);
    void forgetOldest(MutationList &changes);

    StateStore store_;
    std::map<std::uint64_t, Session> sessions_;
    std::map<std::uint64_t, std::uint64_t> byLastIndex_; ///< Sessions, least recently used first.
};

} // namespace persimmonlb
