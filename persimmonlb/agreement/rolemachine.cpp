#include "persimmonlb/agreement/rolemachine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace persimmonlb
{

namespace
{

namespace msm = boost::msm;

struct ElectionTimeout {
};
struct PreVoteWon {
};
struct VoteWon {
};
struct SteppedDown {
};
struct BecameVoter {
};
struct BecameNonVoter {
};

/// Front end of the state machine; the order of the states in the table gives their ids, so each
/// state stores its own role instead.
struct RoleDefinition : msm::front::state_machine_def<RoleDefinition> {
    template <Role Value>
    struct RoleState : msm::front::state<> {
        template <typename Event, typename Machine>
        void on_entry(const Event & /*event*/, Machine &machine) // NOLINT: name set by Boost.MSM
        {
            machine.current = Value;
        }
    };
    using LearnerState = RoleState<Role::Learner>;
    using FollowerState = RoleState<Role::Follower>;
    using PreCandidateState = RoleState<Role::PreCandidate>;
    using CandidateState = RoleState<Role::Candidate>;
    using LeaderState = RoleState<Role::Leader>;

    using initial_state = LearnerState; // NOLINT: name set by Boost.MSM

    template <typename From, typename Event, typename To>
    using Row = msm::front::Row<From, Event, To>;

    // clang-format off
    struct transition_table : boost::mpl::vector< // NOLINT: name set by Boost.MSM
        Row<LearnerState,      BecameVoter,     FollowerState>,
        Row<FollowerState,     ElectionTimeout, PreCandidateState>,
        Row<FollowerState,     BecameNonVoter,  LearnerState>,
        Row<PreCandidateState, PreVoteWon,      CandidateState>,
        Row<PreCandidateState, SteppedDown,     FollowerState>,
        Row<PreCandidateState, BecameNonVoter,  LearnerState>,
        Row<CandidateState,    VoteWon,         LeaderState>,
        Row<CandidateState,    ElectionTimeout, PreCandidateState>,
        Row<CandidateState,    SteppedDown,     FollowerState>,
        Row<CandidateState,    BecameNonVoter,  LearnerState>,
        Row<LeaderState,       SteppedDown,     FollowerState>,
        Row<LeaderState,       BecameNonVoter,  LearnerState>
    > {};
    // clang-format on

    template <typename Machine, typename Event>
    void no_transition(const Event & /*event*/, Machine & /*machine*/, int /*state*/) // NOLINT
    {
    }

    Role current = Role::Learner;
};

} // namespace

std::string_view toString(Role role)
{
    switch (role) {
    case Role::Learner:
        return "learner";
    case Role::Follower:
        return "follower";
    case Role::PreCandidate:
        return "pre_candidate";
    case Role::Candidate:
        return "candidate";
    case Role::Leader:
        break;
    }
    return "leader";
}

class RoleMachine::Implementation : public msm::back::state_machine<RoleDefinition>
{
};

RoleMachine::RoleMachine()
    : implementation_(std::make_unique<Implementation>())
{
    implementation_->start();
}

RoleMachine::~RoleMachine() = default;

Role RoleMachine::role() const
{
    return implementation_->current;
}

bool RoleMachine::handle(RoleEvent event)
{
    const Role before = role();
    switch (event) {
    case RoleEvent::ElectionTimeout:
        implementation_->process_event(ElectionTimeout{});
        break;
    case RoleEvent::PreVoteWon:
        implementation_->process_event(PreVoteWon{});
        break;
    case RoleEvent::VoteWon:
        implementation_->process_event(VoteWon{});
        break;
    case RoleEvent::SteppedDown:
        implementation_->process_event(SteppedDown{});
        break;
    case RoleEvent::BecameVoter:
        implementation_->process_event(BecameVoter{});
        break;
    case RoleEvent::BecameNonVoter:
        implementation_->process_event(BecameNonVoter{});
        break;
    }
    return role() != before;
}

} // namespace persimmonlb
