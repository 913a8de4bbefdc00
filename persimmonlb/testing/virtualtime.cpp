#include "persimmonlb/testing/virtualtime.h"

#include <algorithm>
#include <utility>

namespace persimmonlb
{

Clock VirtualTime::clock()
{
    return Clock{[this] { return MonotonicTime(now_); },
                 [this] {
                     return WallTime(now());
                 }};
}

void VirtualTime::after(Microseconds delay, std::function<void()> fn)
{
    timers_.emplace(std::pair(now_ + delay, order_++), std::move(fn));
}

void VirtualTime::run(Microseconds duration)
{
    const Microseconds end = now_ + duration;
    while (!timers_.empty() && timers_.begin()->first.first <= end) {
        auto timer = timers_.extract(timers_.begin());
        now_ = std::max(now_, timer.key().first);
        timer.mapped()();
    }
    now_ = end;
}

Milliseconds VirtualTime::now() const
{
    return std::chrono::floor<Milliseconds>(now_);
}

} // namespace persimmonlb
