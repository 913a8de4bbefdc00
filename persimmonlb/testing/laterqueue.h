#pragma once

#include <deque>
#include <functional>
#include <utility>

namespace persimmonlb::testing
{

/// Keeps what a module puts off until its test runs it.
class LaterQueue
{
public:
    void put(std::function<void()> fn)
    {
        waiting_.push_back(std::move(fn));
    }
    /// Runs everything, also what is put off meanwhile.
    void run()
    {
        while (!waiting_.empty()) {
            const auto next = std::move(waiting_.front());
            waiting_.pop_front();
            next();
        }
    }

private:
    std::deque<std::function<void()>> waiting_;
};

} // namespace persimmonlb::testing
