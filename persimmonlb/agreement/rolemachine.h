#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace persimmonlb
{

enum class Role : std::uint8_t {
    Learner, ///< Not a voter: new, removed, or with a disk that the group does not know.
    Follower,
    PreCandidate, ///< Asks whether an election could be won, without raising its term.
    Candidate,
    Leader,
};

/// "learner", "follower", "pre_candidate", "candidate" or "leader".
std::string_view toString(Role role);

enum class RoleEvent : std::uint8_t {
    ElectionTimeout,
    PreVoteWon,
    VoteWon,
    SteppedDown, ///< A higher term, another leader in this term, or no quorum.
    BecameVoter,
    BecameNonVoter,
};

/// The states of a member's role and which event leads from one to the other (Boost.MSM). An event
/// that the current role does not expect changes nothing.
class RoleMachine
{
public:
    RoleMachine();
    ~RoleMachine();
    RoleMachine(const RoleMachine &) = delete;
    RoleMachine &operator=(const RoleMachine &) = delete;

    [[nodiscard]] Role role() const;
    /// Returns true when the role changed.
    bool handle(RoleEvent event);

private:
    class Implementation;

    std::unique_ptr<Implementation> implementation_;
};

} // namespace persimmonlb
