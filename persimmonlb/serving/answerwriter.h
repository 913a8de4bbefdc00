#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "persimmonlb/base/error.h"
#include "persimmonlb/http/message.h"
#include "persimmonlb/http/server.h"

namespace persimmonlb
{

/// The caller's side of one answer: whole, in chunks or as events, and ended so that a part never
/// looks whole. Calls after the end do nothing. Not thread-safe.
class AnswerWriter
{
public:
    /// `flow(true)` is called when more than `maxUnwritten` bytes wait for the caller,
    /// `flow(false)` once half of them left.
    AnswerWriter(std::shared_ptr<HttpResponder> responder, std::uint64_t maxUnwritten,
                 std::function<void(bool paused)> flow);
    AnswerWriter(const AnswerWriter &) = delete;
    AnswerWriter &operator=(const AnswerWriter &) = delete;

    void whole(HttpResponse response);
    /// Starts an answer that follows in chunks.
    void startChunks(HttpResponseHead head);
    /// Starts an answer that follows in events.
    void startEvents(HttpResponseHead head);
    void pass(std::string text);
    /// Ends a started answer properly.
    void finish();
    /// Ends with an error: a whole error answer, an error event, or a broken connection, whichever
    /// the answer so far allows.
    void fail(const Error &error, const std::vector<std::string> &otherHosts,
              const std::string &requestId);
    /// The caller went away.
    void close();

    [[nodiscard]] bool started() const;
    [[nodiscard]] bool ended() const;

private:
    enum class State : std::uint8_t { Empty, Chunks, Events, Ended };
    /// Shared with the callbacks of writes, which may outlive this object.
    struct Flow {
        std::uint64_t unwritten = 0;
        bool paused = false;
        std::function<void(bool)> changed;
    };

    std::shared_ptr<HttpResponder> responder_;
    std::uint64_t maxUnwritten_;
    State state_ = State::Empty;
    std::shared_ptr<Flow> flow_;
};

} // namespace persimmonlb
