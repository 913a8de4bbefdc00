#include "persimmonlb/store/internal/syncer.h"

#include <utility>

namespace persimmonlb::internal
{

Syncer::Syncer(Database &database, Post post)
    : database_(database)
    , post_(std::move(post))
    , thread_([this] { run(); })
{
}

Syncer::~Syncer()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_one();
    thread_.join();
}

void Syncer::sync(SyncDone done)
{
    waiting_.push_back(std::move(done));
    if (!busy_) {
        start();
    }
}

void Syncer::start()
{
    busy_ = true;
    running_ = std::exchange(waiting_, {});
    {
        const std::lock_guard lock(mutex_);
        requested_ = database_.sequence();
        hasRequest_ = true;
    }
    wake_.notify_one();
}

void Syncer::complete(const Outcome<Done> &outcome)
{
    busy_ = false;
    const std::vector<SyncDone> answered = std::exchange(running_, {});
    if (!waiting_.empty()) {
        start();
    }
    for (const SyncDone &done : answered) {
        done(outcome);
    }
}

void Syncer::run()
{
    std::unique_lock lock(mutex_);
    while (true) {
        wake_.wait(lock, [this] { return hasRequest_ || stopping_; });
        if (stopping_) {
            return;
        }
        hasRequest_ = false;
        const std::uint64_t upTo = requested_;
        lock.unlock();
        auto outcome = capture([&] { return database_.sync(upTo); });
        post_([this, outcome = std::move(outcome), alive = std::weak_ptr(alive_)] {
            if (!alive.expired()) {
                complete(outcome);
            }
        });
        lock.lock();
    }
}

} // namespace persimmonlb::internal
