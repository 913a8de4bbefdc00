#include "persimmonlb/state/commandsessions.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "persimmonlb/state/keys.h"

namespace persimmonlb
{

CommandSessions::CommandSessions(StateStore store)
    : store_(std::move(store))
{
}

std::optional<std::string> CommandSessions::replyOfCopy(const CommandOrigin &origin) const
{
    const auto session = sessions_.find(origin.session);
    if (session == sessions_.end()) {
        return std::nullopt;
    }
    const bool isDecided = session->second.decided.contains(origin.sequence);
    if (!isDecided && origin.sequence >= session->second.oldestPending) {
        return std::nullopt;
    }
    auto reply
        = isDecided ? store_.get(keys::decision(origin.session, origin.sequence)) : std::nullopt;
    return reply.value_or(encodeReply(PlainReply{.code = ResultCode::OutcomeUnknown,
                                                 .message = "no reply to this command is kept"}));
}

void CommandSessions::record(const CommandOrigin &origin, std::uint64_t index,
                             const std::string &reply, MutationList &changes)
{
    Session &session = sessions_[origin.session];
    byLastIndex_.erase(session.lastIndex);
    session.lastIndex = index;
    byLastIndex_[index] = origin.session;
    session.oldestPending = std::max(session.oldestPending, origin.oldestPending);
    forgetReplies(origin.session, session, session.oldestPending, changes);
    session.decided.insert(origin.sequence);
    changes.push_back({keys::session(origin.session),
                       keys::number(session.oldestPending) + keys::number(session.lastIndex)});
    changes.push_back({keys::decision(origin.session, origin.sequence), reply});
    if (sessions_.size() > maxSessions) {
        forgetOldest(changes);
    }
}

void CommandSessions::forgetReplies(std::uint64_t id, Session &session, std::uint64_t before,
                                    MutationList &changes)
{
    const auto end = session.decided.lower_bound(before);
    for (auto sequence = session.decided.begin(); sequence != end; ++sequence) {
        changes.push_back({keys::decision(id, *sequence), std::nullopt});
    }
    session.decided.erase(session.decided.begin(), end);
}

void CommandSessions::forgetOldest(MutationList &changes)
{
    const auto oldest = byLastIndex_.begin();
    const std::uint64_t id = oldest->second;
    forgetReplies(id, sessions_.at(id), std::numeric_limits<std::uint64_t>::max(), changes);
    changes.push_back({keys::session(id), std::nullopt});
    sessions_.erase(id);
    byLastIndex_.erase(oldest);
}

Result<void> CommandSessions::reload()
{
    sessions_.clear();
    byLastIndex_.clear();
    bool isSound = true;
    store_.scan(keys::sessionPrefix, [&](std::string_view key, std::string_view value) {
        const auto id = keys::parseNumber(key.substr(keys::sessionPrefix.size()));
        const auto oldestPending = keys::parseNumber(value);
        const auto lastIndex = value.size() > sizeof(std::uint64_t)
            ? keys::parseNumber(value.substr(sizeof(std::uint64_t)))
            : std::nullopt;
        isSound = id && oldestPending && lastIndex;
        if (isSound) {
            sessions_[*id]
                = Session{.oldestPending = *oldestPending, .lastIndex = *lastIndex, .decided = {}};
            byLastIndex_[*lastIndex] = *id;
        }
        return isSound;
    });
    store_.scan(keys::decisionPrefix, [&](std::string_view key, std::string_view /*value*/) {
        key.remove_prefix(keys::decisionPrefix.size());
        const auto id = keys::parseNumber(key);
        const auto sequence = key.size() > sizeof(std::uint64_t)
            ? keys::parseNumber(key.substr(sizeof(std::uint64_t)))
            : std::nullopt;
        isSound = isSound && id && sequence && sessions_.contains(*id);
        if (isSound) {
            sessions_[*id].decided.insert(*sequence);
        }
        return isSound;
    });
    if (!isSound) {
        return fail(ResultCode::CorruptStore, "the state store holds a bad command session");
    }
    return {};
}

} // namespace persimmonlb
