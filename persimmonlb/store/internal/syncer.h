#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "persimmonlb/base/error.h"
#include "persimmonlb/store/internal/database.h"

namespace persimmonlb::internal
{

/// Runs syncs on a thread of its own, one at a time; calls that come while one runs share the next.
class Syncer
{
public:
    using Post = std::function<void(std::function<void()>)>;
    using SyncDone = std::function<void(Outcome<Done>)>;

    Syncer(Database &database, Post post);
    /// Waits for the running sync; drops the callbacks that were not called.
    ~Syncer();
    Syncer(const Syncer &) = delete;
    Syncer &operator=(const Syncer &) = delete;

    /// Called on the decision thread; `done` is called there through the post hook.
    void sync(SyncDone done);

private:
    struct Request {
        std::uint64_t sequence = 0;
        std::vector<SyncDone> waiting;
    };

    void start();
    void complete(const Outcome<Done> &outcome);
    void run();

    Database &database_;
    Post post_;

    // Decision thread only.
    std::vector<SyncDone> waiting_;
    std::vector<SyncDone> running_;
    bool busy_ = false;
    std::shared_ptr<const char> alive_ = std::make_shared<const char>('a');

    // Shared with the sync thread, under the mutex.
    std::mutex mutex_;
    std::condition_variable wake_;
    std::uint64_t requested_ = 0; ///< Sequence number to sync up to.
    bool hasRequest_ = false;
    bool stopping_ = false;

    std::thread thread_;
};

} // namespace persimmonlb::internal
