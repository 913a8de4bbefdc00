#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonlb
{

/// Size limit of one event; a longer one breaks the stream, because a faulty server may send bytes
/// without end. About 100 times the longest event that the engines send.
inline constexpr std::size_t maxEventBytes = 256UL * 1024;

/// One server-sent event.
struct StreamEvent {
    std::uint64_t id = 0;
    std::string raw; ///< As received, including the empty line at its end.
    std::string data; ///< Values of the data lines, joined by line feeds.

    bool operator==(const StreamEvent &) const = default;
};

/// Parses a stream of server-sent events with consecutive ids and returns each event once.
///
/// After reopen() it reads the stream of another attempt that resumes after the last returned
/// event: events that were returned before are dropped, and a gap in the ids breaks the stream.
/// Not thread-safe.
///
/// Example:
///   EventReader reader;
///   for (const StreamEvent &event : reader.feed(chunk)) { write(event.raw); }
///   if (reader.isBroken()) { resume after reader.lastId(); }
class EventReader
{
public:
    EventReader() = default;
    /// Creates a reader that expects the event after `lastId`, for a stream that another reader
    /// began.
    explicit EventReader(std::uint64_t lastId);

    /// Appends `bytes` and returns the events that are now complete. Returns nothing once the
    /// stream is broken.
    std::vector<StreamEvent> feed(std::string_view bytes);
    /// Drops an incomplete event and clears the broken state, to read a resumed stream.
    void reopen();

    /// Returns the id of the last returned event, or nothing before the first one.
    [[nodiscard]] std::optional<std::uint64_t> lastId() const;
    /// Returns true if an event was missing, had no id or exceeded maxEventBytes; reopen() resets
    /// this.
    [[nodiscard]] bool isBroken() const;
    /// Returns true while the last received event is incomplete.
    [[nodiscard]] bool isInsideEvent() const;

private:
    /// Appends the event to `accepted` if it is the next one, skips a repeated one,
    /// and otherwise marks the stream as broken.
    void acceptEvent(std::string_view raw, std::vector<StreamEvent> &accepted);

    std::string buffer_;
    std::optional<std::uint64_t> lastId_;
    bool broken_ = false;
};

} // namespace persimmonlb
