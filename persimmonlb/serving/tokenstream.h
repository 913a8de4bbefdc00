#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonlb
{

/// Reads an engine's server-sent events and lets through exactly the tokens of one request, each
/// once and in order.
///
/// Example:
///   TokenStream stream("r1");
///   for (const std::string &event : stream.feed(chunk)) responder.write(event);
///   if (stream.state() == TokenStream::State::Broken) ... resume from stream.nextIndex()
///
/// Every event must carry the request's "id" and the next "index". One with another id, or with an
/// index that was let through before, is dropped; one beyond the next index breaks the stream. So
/// does an end before any token, or after one whose choices[].finish_reason is null.
class TokenStream
{
public:
    enum class State : std::uint8_t {
        Open,
        Ended, ///< [DONE] came.
        Broken, ///< A token is missing, or the server reported an error.
    };

    explicit TokenStream(std::string requestId);

    /// Takes bytes and returns the events that are to be passed on, as text that ends with an
    /// empty line. Nothing after the end or a break.
    std::vector<std::string> feed(std::string_view bytes);

    /// Starts over with the bytes of another exchange, which goes on from nextIndex().
    void reopen();

    [[nodiscard]] State state() const;
    /// Index of the token that is due.
    [[nodiscard]] std::uint64_t nextIndex() const;
    /// Why the stream broke.
    [[nodiscard]] const std::string &fault() const;
    /// Events that were dropped.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    /// Adds a complete event to `passed` when it is due.
    void takeEvent(std::string_view event, std::vector<std::string> &passed);
    void takeEnd();
    void breakStream(std::string fault);

    std::string requestId_;
    std::string buffer_;
    State state_ = State::Open;
    std::uint64_t nextIndex_ = 0;
    bool unfinished_ = false; ///< The last token said that more follow.
    std::string fault_;
    std::uint64_t dropped_ = 0;
};

/// The event that ends a stream which could not be completed.
std::string errorEvent(std::string_view errorBody);

} // namespace persimmonlb
