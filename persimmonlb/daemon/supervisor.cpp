#include "persimmonlb/daemon/supervisor.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "persimmonlb/base/logline.h"

namespace persimmonlb
{

Supervisor::Supervisor(std::string name, RestartLimit limit, Clock clock,
                       std::function<void(const std::string &)> failed)
    : name_(std::move(name))
    , limit_(limit)
    , clock_(std::move(clock))
    , failed_(std::move(failed))
{
}

void Supervisor::add(ChildSpec child)
{
    children_.push_back(Child{std::move(child), false, {}});
}

Supervisor::Child *Supervisor::find(const std::string &name)
{
    const auto position = std::ranges::find_if(
        children_, [&](const Child &child) { return child.spec.name == name; });
    return position == children_.end() ? nullptr : &*position;
}

bool Supervisor::running(const std::string &child) const
{
    return std::ranges::any_of(children_, [&](const Child &candidate) {
        return candidate.spec.name == child && candidate.running;
    });
}

Result<void> Supervisor::start(Child &child)
{
    BOOST_LEAF_CHECK(child.spec.start());
    child.running = true;
    LogLine(LogLevel::Info, "child_started").add("child", child.spec.name).write();
    return {};
}

void Supervisor::stop(Child &child)
{
    if (!child.running) {
        return;
    }
    child.running = false;
    child.spec.stop();
    LogLine(LogLevel::Info, "child_stopped").add("child", child.spec.name).write();
}

Result<void> Supervisor::startAll()
{
    for (Child &child : children_) {
        auto started = start(child);
        if (!started) {
            stopAll();
            return started.error();
        }
    }
    return {};
}

void Supervisor::stopAll()
{
    stopped_ = true;
    std::for_each(children_.rbegin(), children_.rend(), [this](Child &child) { stop(child); });
}

bool Supervisor::mayRestart(Child &child)
{
    const MonotonicTime now = clock_.monotonic();
    while (!child.restarts.empty() && child.restarts.front() + limit_.period <= now) {
        child.restarts.pop_front();
    }
    if (child.restarts.size() >= limit_.restarts) {
        return false;
    }
    child.restarts.push_back(now);
    return true;
}

void Supervisor::childFailed(const std::string &name, const std::string &why)
{
    Child *child = find(name);
    if (child == nullptr || stopped_) {
        return;
    }
    LogLine(LogLevel::Error, "child_failed").add("child", name).add("why", why).write();
    std::string reason = why;
    while (mayRestart(*child)) {
        stop(*child);
        const Outcome<Done> started = capture([&] { return start(*child); });
        if (started.ok()) {
            return;
        }
        reason = started.error().message;
        LogLine(LogLevel::Error, "child_restart_failed")
            .add("child", name)
            .add("why", reason)
            .write();
    }
    stopAll();
    failed_(name_ + ": " + name + " failed past its restart limit: " + reason);
}

void Supervisor::guard(const std::string &name, const std::function<void()> &work)
{
    if (!running(name)) {
        return;
    }
    try {
        work();
    } catch (const std::exception &error) {
        childFailed(name, error.what());
    }
}

} // namespace persimmonlb
