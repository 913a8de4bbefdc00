#include "persimmonlb/jobs/itemphase.h"

#include <array>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/euml/operator.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace persimmonlb
{

namespace
{

namespace front = boost::msm::front;

struct LeaseEvent {
};
struct SucceedEvent {
};
struct RejectEvent {
};
struct FailEvent {
    bool mayRetry = false;
};
struct NotRunEvent {
};
struct ReleaseEvent {
    bool mayRetry = false;
};
struct CancelEvent {
};

struct MayRetry {
    template <typename Event, typename Machine, typename Source, typename Target>
    bool operator()(const Event &event, Machine & /*machine*/, Source & /*source*/,
                    Target & /*target*/) const
    {
        return event.mayRetry;
    }
};

/// Transitions of one item.
struct ItemMachineDefinition : front::state_machine_def<ItemMachineDefinition> {
    using no_exception_thrown = int; // NOLINT: name given by Boost.MSM
    using no_message_queue = int; // NOLINT: name given by Boost.MSM

    struct Pending : front::state<> {
    };
    struct Leased : front::state<> {
    };
    struct Succeeded : front::state<> {
    };
    struct Failed : front::state<> {
    };
    struct Cancelled : front::state<> {
    };
    using initial_state = Pending; // NOLINT: name given by Boost.MSM

    using NoAction = front::none;
    using NoGuard = front::none;
    using NoRetry = front::euml::Not_<MayRetry>;

    // clang-format off
    struct transition_table : boost::mpl::vector< // NOLINT: name given by Boost.MSM
        front::Row<Pending, LeaseEvent,   Leased,    NoAction, NoGuard>,
        front::Row<Pending, CancelEvent,  Cancelled, NoAction, NoGuard>,
        front::Row<Leased,  SucceedEvent, Succeeded, NoAction, NoGuard>,
        front::Row<Leased,  RejectEvent,  Failed,    NoAction, NoGuard>,
        front::Row<Leased,  FailEvent,    Pending,   NoAction, MayRetry>,
        front::Row<Leased,  FailEvent,    Failed,    NoAction, NoRetry>,
        front::Row<Leased,  NotRunEvent,  Pending,   NoAction, NoGuard>,
        front::Row<Leased,  ReleaseEvent, Pending,   NoAction, MayRetry>,
        front::Row<Leased,  ReleaseEvent, Failed,    NoAction, NoRetry>,
        front::Row<Leased,  CancelEvent,  Cancelled, NoAction, NoGuard>
    > {};
    // clang-format on

    template <typename Event, typename Machine>
    void no_transition(const Event & /*event*/, Machine & /*machine*/, int /*state*/) // NOLINT
    {
    }
};

using ItemMachine = boost::msm::back::state_machine<ItemMachineDefinition>;

constexpr std::size_t phaseCount = 5;
constexpr std::size_t eventCount = 7;

template <typename State>
int stateNumber()
{
    return boost::msm::back::get_state_id<ItemMachine::stt, State>::value;
}

std::optional<ItemPhase> phaseOf(int state)
{
    using Definition = ItemMachineDefinition;
    if (state == stateNumber<Definition::Pending>()) {
        return ItemPhase::Pending;
    }
    if (state == stateNumber<Definition::Leased>()) {
        return ItemPhase::Leased;
    }
    if (state == stateNumber<Definition::Succeeded>()) {
        return ItemPhase::Succeeded;
    }
    if (state == stateNumber<Definition::Failed>()) {
        return ItemPhase::Failed;
    }
    return ItemPhase::Cancelled;
}

bool process(ItemMachine &machine, ItemEvent event, bool mayRetry)
{
    using boost::msm::back::HANDLED_TRUE;
    switch (event) {
    case ItemEvent::Lease:
        return machine.process_event(LeaseEvent{}) == HANDLED_TRUE;
    case ItemEvent::Succeed:
        return machine.process_event(SucceedEvent{}) == HANDLED_TRUE;
    case ItemEvent::Reject:
        return machine.process_event(RejectEvent{}) == HANDLED_TRUE;
    case ItemEvent::Fail:
        return machine.process_event(FailEvent{mayRetry}) == HANDLED_TRUE;
    case ItemEvent::NotRun:
        return machine.process_event(NotRunEvent{}) == HANDLED_TRUE;
    case ItemEvent::Release:
        return machine.process_event(ReleaseEvent{mayRetry}) == HANDLED_TRUE;
    case ItemEvent::Cancel:
        break;
    }
    return machine.process_event(CancelEvent{}) == HANDLED_TRUE;
}

/// Brings a new machine to `phase`.
void enter(ItemMachine &machine, ItemPhase phase)
{
    machine.start();
    if (phase == ItemPhase::Pending) {
        return;
    }
    process(machine, ItemEvent::Lease, false);
    if (phase == ItemPhase::Succeeded) {
        process(machine, ItemEvent::Succeed, false);
    } else if (phase == ItemPhase::Failed) {
        process(machine, ItemEvent::Reject, false);
    } else if (phase == ItemPhase::Cancelled) {
        process(machine, ItemEvent::Cancel, false);
    }
}

using TransitionTable
    = std::array<std::array<std::array<std::optional<ItemPhase>, 2>, eventCount>, phaseCount>;

/// What the machine does with every event in every phase. Building a machine allocates; a table
/// filled once keeps that off the path of an event.
TransitionTable tabulate()
{
    TransitionTable table;
    for (std::size_t phase = 0; phase < phaseCount; ++phase) {
        for (std::size_t event = 0; event < eventCount; ++event) {
            for (const bool mayRetry : {false, true}) {
                ItemMachine machine;
                enter(machine, static_cast<ItemPhase>(phase));
                if (process(machine, static_cast<ItemEvent>(event), mayRetry)) {
                    table[phase][event][mayRetry ? 1 : 0] = phaseOf(*machine.current_state());
                }
            }
        }
    }
    return table;
}

} // namespace

std::optional<ItemPhase> nextPhase(ItemPhase phase, ItemEvent event, bool mayRetry)
{
    static const TransitionTable table = tabulate();
    return table[static_cast<std::size_t>(phase)][static_cast<std::size_t>(event)]
                [mayRetry ? 1 : 0];
}

} // namespace persimmonlb
