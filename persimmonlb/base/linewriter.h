#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace persimmonlb
{

/// Writes lines to a file descriptor from a thread of its own, so that a reader that has stopped
/// never holds up the caller.
///
/// What waits is bounded. When half of the bound is used, ordinary lines are dropped; important
/// ones until all of it is. Once there is room again, a line tells how many were dropped.
///
/// Thread-safe.
class LineWriter
{
public:
    struct Options {
        int descriptor = 1;
        std::size_t maxWaitingBytes = 1024UL * 1024; ///< Some 5,000 lines.
        /// Lines that come within this time leave in one write.
        std::chrono::milliseconds gather{20};
        /// At the end, for a reader that takes no more.
        std::chrono::milliseconds flushLimit{300};
    };

    explicit LineWriter(Options options);
    LineWriter(const LineWriter &) = delete;
    LineWriter &operator=(const LineWriter &) = delete;
    /// Writes what waits, for as long as the reader takes it, but not beyond the flush limit.
    ~LineWriter();

    /// Queues a line, which ends with a line feed.
    void write(std::string line, bool important);
    [[nodiscard]] std::uint64_t dropped() const;

private:
    void run();
    /// Writes some bytes; false when the reader takes none now.
    bool writeSome(std::string &bytes) const;

    Options options_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::string> lines_;
    std::size_t waitingBytes_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t droppedTold_ = 0;
    bool ending_ = false;
    std::thread thread_;
};

} // namespace persimmonlb
