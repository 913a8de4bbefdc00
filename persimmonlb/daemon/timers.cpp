#include "persimmonlb/daemon/timers.h"

#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace persimmonlb
{

struct Timers::Shared {
    explicit Shared(boost::asio::io_context &used)
        : context(used)
    {
    }
    boost::asio::io_context &context;
    bool alive = true;
};

namespace
{

using TimerPtr = std::shared_ptr<boost::asio::steady_timer>;

template <typename SharedPtr>
void armRepeating(const SharedPtr &shared, const TimerPtr &timer, Milliseconds interval,
                  const std::shared_ptr<std::function<void()>> &fn)
{
    timer->expires_after(interval);
    timer->async_wait([shared, timer, interval, fn](const boost::system::error_code &error) {
        if (error || !shared->alive) {
            return;
        }
        (*fn)();
        armRepeating(shared, timer, interval, fn);
    });
}

} // namespace

Timers::Timers(boost::asio::io_context &context)
    : shared_(std::make_shared<Shared>(context))
{
}

Timers::~Timers()
{
    shared_->alive = false;
}

void Timers::after(Milliseconds delay, std::function<void()> fn)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(shared_->context, delay);
    timer->async_wait(
        [shared = shared_, timer, fn = std::move(fn)](const boost::system::error_code &error) {
            if (!error && shared->alive) {
                fn();
            }
        });
}

void Timers::every(Milliseconds interval, std::function<void()> fn)
{
    armRepeating(shared_, std::make_shared<boost::asio::steady_timer>(shared_->context), interval,
                 std::make_shared<std::function<void()>>(std::move(fn)));
}

} // namespace persimmonlb
