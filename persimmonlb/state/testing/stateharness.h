#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "persimmonlb/state/replicatedstate.h"

/// Fakes to drive a replicated state without a log.
namespace persimmonlb::testing
{

/// Ordered keyed state in memory. Must outlive the hooks that it gives.
class MapStore
{
public:
    StateStore hooks()
    {
        return StateStore{
            .get = [this](std::string_view key) -> std::optional<std::string> {
                const auto entry = content.find(key);
                return entry == content.end() ? std::nullopt : std::optional(entry->second);
            },
            .scan =
                [this](std::string_view prefix, const auto &visit) {
                    for (auto entry = content.lower_bound(prefix);
                         entry != content.end() && entry->first.starts_with(prefix); ++entry) {
                        if (!visit(entry->first, entry->second)) {
                            return;
                        }
                    }
                },
            .write = [this](const MutationList &changes) -> Result<void> {
                write(changes);
                return {};
            },
        };
    }

    void write(const MutationList &changes)
    {
        for (const Mutation &change : changes) {
            if (change.value) {
                content[change.key] = *change.value;
            } else {
                content.erase(change.key);
            }
        }
    }

    std::map<std::string, std::string, std::less<>> content;
};

/// A replicated state over a MapStore, fed with encoded commands as the log does.
class StateHarness
{
public:
    StateHarness()
    {
        restart();
    }

    /// Applies a command and writes its changes.
    Reply applyAny(const Command &command)
    {
        return decodeReply(applyEncoded(encodeCommand(command))).value();
    }

    /// Applies a command as the log holds it, writes its changes and returns the encoded reply.
    std::string applyEncoded(std::string_view command)
    {
        ++index_;
        MutationList changes;
        std::string reply = state_->machine().apply(index_, command, changes);
        store.write(changes);
        return reply;
    }

    /// Applies a command whose reply type is known.
    template <typename Expected>
    Expected apply(const Command &command)
    {
        return std::get<Expected>(applyAny(command));
    }

    template <typename Expected>
    Expected ask(const Query &query) const
    {
        return std::get<Expected>(decodeAnswer(encodeAnswer(state_->answer(query))).value());
    }

    /// Starts a new state over what the store holds.
    void restart()
    {
        state_ = std::make_unique<ReplicatedState>(store.hooks());
        reloaded = capture([this] { return state_->reload(); }).ok();
    }

    [[nodiscard]] const ReplicatedState &state() const
    {
        return *state_;
    }

    MapStore store;
    bool reloaded = false; ///< The last restart() read the store without an error.

private:
    std::unique_ptr<ReplicatedState> state_;
    std::uint64_t index_ = 0;
};

} // namespace persimmonlb::testing
