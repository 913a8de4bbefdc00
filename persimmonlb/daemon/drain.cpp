#include "persimmonlb/daemon/drain.h"

#include <optional>
#include <utility>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace persimmonlb
{

namespace
{

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct BeginEvent {
};
struct UndoEvent {
};
struct AnswersExpiredEvent {
};
struct IdleEvent {
};

struct Withdraw {
    template <typename Event, typename Machine, typename From, typename To>
    void operator()(const Event &, Machine &machine, From &, To &)
    {
        machine.hooks->withdraw();
    }
};
struct Restore {
    template <typename Event, typename Machine, typename From, typename To>
    void operator()(const Event &, Machine &machine, From &, To &)
    {
        machine.hooks->restore();
    }
};
struct Close {
    template <typename Event, typename Machine, typename From, typename To>
    void operator()(const Event &, Machine &machine, From &, To &)
    {
        machine.hooks->close();
    }
};
struct Stop {
    template <typename Event, typename Machine, typename From, typename To>
    void operator()(const Event &, Machine &machine, From &, To &)
    {
        machine.hooks->stopped();
    }
};

// The names of initial_state, transition_table and no_transition are fixed by Boost.MSM.
// NOLINTBEGIN(readability-identifier-naming)
struct DrainDefinition : msm::front::state_machine_def<DrainDefinition> {
    struct Serving : msm::front::state<> {
    };
    struct Withdrawn : msm::front::state<> {
    };
    struct Closing : msm::front::state<> {
    };
    struct Stopped : msm::front::state<> {
    };
    using initial_state = Serving;

    struct transition_table
        : boost::mpl::vector<Row<Serving, BeginEvent, Withdrawn, Withdraw, none>,
                             Row<Withdrawn, UndoEvent, Serving, Restore, none>,
                             Row<Withdrawn, AnswersExpiredEvent, Closing, Close, none>,
                             Row<Closing, IdleEvent, Stopped, Stop, none>> {
    };

    template <typename Machine, typename Event>
    void no_transition(const Event &, Machine &, int)
    {
    }

    DrainHooks *hooks = nullptr;
};
// NOLINTEND(readability-identifier-naming)

} // namespace

struct Drain::Machine {
    Machine(Milliseconds lifetime, Clock usedClock, DrainHooks usedHooks)
        : answerLifetime(lifetime)
        , clock(std::move(usedClock))
        , hooks(std::move(usedHooks))
    {
        states.hooks = &hooks;
        states.start();
    }

    [[nodiscard]] DrainStage stage() const
    {
        // States are numbered in the order of the transition table.
        return static_cast<DrainStage>(states.current_state()[0]);
    }

    Milliseconds answerLifetime;
    Clock clock;
    DrainHooks hooks;
    msm::back::state_machine<DrainDefinition> states;
    std::optional<MonotonicTime> knownAt;
};

Drain::Drain(Milliseconds answerLifetime, Clock clock, DrainHooks hooks)
    : machine_(std::make_unique<Machine>(answerLifetime, std::move(clock), std::move(hooks)))
{
}

Drain::~Drain() = default;

void Drain::begin()
{
    machine_->states.process_event(BeginEvent{});
}

void Drain::undo()
{
    machine_->knownAt.reset();
    machine_->states.process_event(UndoEvent{});
}

void Drain::tick()
{
    const MonotonicTime now = machine_->clock.monotonic();
    if (stage() == DrainStage::Withdrawn) {
        if (!machine_->knownAt && machine_->hooks.withdrawalKnown()) {
            machine_->knownAt = now;
        }
        if (machine_->knownAt && now >= *machine_->knownAt + machine_->answerLifetime) {
            machine_->states.process_event(AnswersExpiredEvent{});
        }
        return;
    }
    if (stage() == DrainStage::Closing && machine_->hooks.idle()) {
        machine_->states.process_event(IdleEvent{});
    }
}

DrainStage Drain::stage() const
{
    return machine_->stage();
}

} // namespace persimmonlb
