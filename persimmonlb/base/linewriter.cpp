#include "persimmonlb/base/linewriter.h"

#include <algorithm>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace persimmonlb
{

namespace
{

constexpr int pollStepMs = 100; ///< How often a writer whose reader has stopped looks for the end.
/// Less than what any pipe takes at once when it is writable.
constexpr std::size_t writeBytes = 4096;

} // namespace

LineWriter::LineWriter(Options options)
    : options_(options)
    , thread_([this] { run(); })
{
}

LineWriter::~LineWriter()
{
    {
        const std::lock_guard lock(mutex_);
        ending_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

void LineWriter::write(std::string line, bool important)
{
    const std::lock_guard lock(mutex_);
    const std::size_t bound = important ? options_.maxWaitingBytes : options_.maxWaitingBytes / 2;
    if (waitingBytes_ + line.size() > bound) {
        ++dropped_;
        return;
    }
    waitingBytes_ += line.size();
    lines_.push_back(std::move(line));
    if (lines_.size() == 1) {
        changed_.notify_all();
    }
}

std::uint64_t LineWriter::dropped() const
{
    const std::lock_guard lock(mutex_);
    return dropped_;
}

bool LineWriter::writeSome(std::string &bytes) const
{
    pollfd ready{options_.descriptor, POLLOUT, 0};
    if (::poll(&ready, 1, pollStepMs) <= 0) {
        return false;
    }
    const ssize_t written
        = ::write(options_.descriptor, bytes.data(), std::min(bytes.size(), writeBytes));
    // A descriptor that is closed takes nothing: its lines are lost, as with any log.
    bytes.erase(0, written > 0 ? static_cast<std::size_t>(written) : bytes.size());
    return true;
}

void LineWriter::run()
{
    std::string bytes;
    std::chrono::steady_clock::time_point end = std::chrono::steady_clock::time_point::max();
    std::unique_lock lock(mutex_);
    while (true) {
        if (bytes.empty()) {
            changed_.wait(lock, [this] { return ending_ || !lines_.empty(); });
            if (!ending_) {
                changed_.wait_for(lock, options_.gather, [this] { return ending_; });
            }
            for (const std::string &line : lines_) {
                bytes += line;
            }
            lines_.clear();
            if (dropped_ > droppedTold_) {
                bytes += "level=warning event=log_lines_dropped count="
                    + std::to_string(dropped_ - droppedTold_) + "\n";
                droppedTold_ = dropped_;
            }
        }
        const auto now = std::chrono::steady_clock::now();
        if (ending_ && end == std::chrono::steady_clock::time_point::max()) {
            end = now + options_.flushLimit;
        }
        if ((ending_ && bytes.empty()) || now >= end) {
            return;
        }
        const std::size_t before = bytes.size();
        lock.unlock();
        writeSome(bytes);
        lock.lock();
        // Bytes count as waiting until they have left.
        waitingBytes_ -= std::min(waitingBytes_, before - bytes.size());
    }
}

} // namespace persimmonlb
