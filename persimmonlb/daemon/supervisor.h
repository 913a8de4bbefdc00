#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"

namespace persimmonlb
{

/// One part of the process that can be started and stopped alone.
struct ChildSpec {
    std::string name;
    std::function<Result<void>()> start;
    std::function<void()> stop;
};

/// A child may be restarted `restarts` times within `period`; the next failure fails the
/// supervisor.
struct RestartLimit {
    std::uint32_t restarts = 3;
    Milliseconds period{60000};

    bool operator==(const RestartLimit &) const = default;
};

/// Starts children in order, restarts one that fails alone, and gives up past the restart limit.
///
/// Example:
///   Supervisor root("root", RestartLimit{}, clock, [](const std::string &why) { exitWith(why); });
///   root.add({"listener", [&] { return listener.start(); }, [&] { listener.stop(); }});
///   BOOST_LEAF_CHECK(root.startAll());
///   root.guard("listener", [&] { listener.tick(); });
///
/// Not thread-safe.
class Supervisor
{
public:
    /// `failed` is called at most once, after every child was stopped.
    Supervisor(std::string name, RestartLimit limit, Clock clock,
               std::function<void(const std::string &why)> failed);

    void add(ChildSpec child);

    /// Starts every child in order. Stops those already started when one cannot start.
    /// Errors: that of the child.
    Result<void> startAll();

    /// Stops every running child, the last started first.
    void stopAll();

    /// Restarts a child, or fails past the limit.
    void childFailed(const std::string &child, const std::string &why);

    /// Runs a child's work; an exception counts as the child's failure. Does nothing while the
    /// child does not run.
    void guard(const std::string &child, const std::function<void()> &work);

    [[nodiscard]] bool running(const std::string &child) const;

private:
    struct Child {
        ChildSpec spec;
        bool running = false;
        std::deque<MonotonicTime> restarts;
    };

    Child *find(const std::string &name);
    Result<void> start(Child &child);
    void stop(Child &child);
    [[nodiscard]] bool mayRestart(Child &child);

    std::string name_;
    RestartLimit limit_;
    Clock clock_;
    std::function<void(const std::string &)> failed_;
    std::vector<Child> children_;
    bool stopped_ = false;
};

} // namespace persimmonlb
