#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "persimmonlb/base/clock.h"

namespace persimmonlb
{

enum class DrainStage : std::uint8_t {
    Serving, ///< Not draining.
    Withdrawn, ///< No longer named to callers; accepts whoever still holds an older answer.
    Closing, ///< Accepts nothing new; waits until everything accepted has ended.
    Stopped, ///< Nothing is left; the process may exit.
};

struct DrainHooks {
    /// Leaves the directory and gives batch work back.
    std::function<void()> withdraw;
    /// Takes withdraw() back.
    std::function<void()> restore;
    /// True once no entry host can name this one in a new answer.
    std::function<bool()> withdrawalKnown;
    /// Stops listening and closes idle connections.
    std::function<void()> close;
    /// True once no request, connection or batch item is left.
    std::function<bool()> idle;
    /// Everything has ended.
    std::function<void()> stopped;
};

/// The planned stop of an entry host, step by step, so that it cuts off no request. A host stays
/// Withdrawn until the withdrawal is known and every answer that named it has expired.
/// Not thread-safe.
class Drain
{
public:
    /// `answerLifetime`: how long a directory answer given before the withdrawal was known may be
    /// used.
    Drain(Milliseconds answerLifetime, Clock clock, DrainHooks hooks);
    Drain(const Drain &) = delete;
    Drain &operator=(const Drain &) = delete;
    ~Drain();

    /// Starts the planned stop; without effect when it has begun.
    void begin();
    /// Serves again; without effect from Closing on.
    void undo();
    /// Moves on when the next step is due. Call every 50 ms or so.
    void tick();

    [[nodiscard]] DrainStage stage() const;

private:
    struct Machine;
    std::unique_ptr<Machine> machine_;
};

} // namespace persimmonlb
