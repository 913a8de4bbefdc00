#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "persimmonlb/base/clock.h"

namespace persimmonlb
{

/// Timers on the decision thread. Functions that are due after the object is destroyed are dropped.
class Timers
{
public:
    explicit Timers(boost::asio::io_context &context);
    Timers(const Timers &) = delete;
    Timers &operator=(const Timers &) = delete;
    ~Timers();

    /// Calls `fn` once after `delay`.
    void after(Milliseconds delay, std::function<void()> fn);
    /// Calls `fn` each `interval`, the first time after one.
    void every(Milliseconds interval, std::function<void()> fn);

private:
    struct Shared;
    std::shared_ptr<Shared> shared_;
};

} // namespace persimmonlb
