#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonlb
{

/// A stream with a longer event is broken: a server in trouble may send bytes without end. Some
/// hundred times the longest event of our engines.
inline constexpr std::size_t maxEventBytes = 256UL * 1024;

/// One server-sent event.
struct StreamEvent {
    std::uint64_t id = 0;
    std::string raw; ///< As received, with the empty line that ends it.
    std::string data; ///< Its data lines, joined by line feeds.

    bool operator==(const StreamEvent &) const = default;
};

/// Reads a stream of server-sent events that carry increasing ids, and lets each pass once.
///
/// After reopen() it takes the bytes of another run that goes on behind the last event passed:
/// events that were passed already are dropped, and a gap breaks the stream.
///
/// Example:
///   EventReader reader;
///   for (const StreamEvent &event : reader.feed(chunk)) { write(event.raw); }
///   if (reader.isBroken()) { resume behind reader.lastId(); }
class EventReader
{
public:
    EventReader() = default;
    /// A reader that goes on behind an event that was passed by somebody else.
    explicit EventReader(std::uint64_t lastId);

    /// The complete events among the bytes so far. Nothing after a break.
    std::vector<StreamEvent> feed(std::string_view bytes);
    void reopen();

    /// The last event passed, or nothing.
    [[nodiscard]] std::optional<std::uint64_t> lastId() const;
    /// An event is missing, has no id or is too long.
    [[nodiscard]] bool isBroken() const;
    /// Bytes of an event that has not ended.
    [[nodiscard]] bool isInsideEvent() const;

private:
    void take(std::string_view raw, std::vector<StreamEvent> &passed);

    std::string buffer_;
    std::optional<std::uint64_t> lastId_;
    bool broken_ = false;
};

} // namespace persimmonlb
