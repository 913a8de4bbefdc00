#include "persimmonlb/relay/eventreader.h"

#include <charconv>
#include <utility>

namespace persimmonlb
{

namespace
{

/// Returns the position after the empty line that ends the first event, or npos.
std::size_t endOfEvent(std::string_view bytes)
{
    std::size_t lineStart = 0;
    while (lineStart < bytes.size()) {
        const std::size_t lineEnd = bytes.find('\n', lineStart);
        if (lineEnd == std::string_view::npos) {
            return std::string_view::npos;
        }
        const std::size_t length = lineEnd - lineStart;
        if (lineStart > 0 && (length == 0 || (length == 1 && bytes[lineStart] == '\r'))) {
            return lineEnd + 1;
        }
        lineStart = lineEnd + 1;
    }
    return std::string_view::npos;
}

/// Returns the value of a field line, or nothing if the line belongs to another field.
std::optional<std::string_view> fieldValue(std::string_view line, std::string_view name)
{
    if (line.size() <= name.size() || !line.starts_with(name) || line[name.size()] != ':') {
        return std::nullopt;
    }
    line.remove_prefix(name.size() + 1);
    if (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    return line;
}

struct ParsedEvent {
    std::optional<std::uint64_t> id;
    std::string data;
    bool hasData = false;
};

ParsedEvent parseEvent(std::string_view raw)
{
    ParsedEvent event;
    while (!raw.empty()) {
        const std::size_t end = raw.find('\n');
        std::string_view line = raw.substr(0, end);
        raw.remove_prefix(end == std::string_view::npos ? raw.size() : end + 1);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (const auto id = fieldValue(line, "id")) {
            std::uint64_t number = 0;
            const auto parsed = std::from_chars(id->data(), id->data() + id->size(), number);
            if (parsed.ec == std::errc() && parsed.ptr == id->data() + id->size()) {
                event.id = number;
            }
            continue;
        }
        if (const auto data = fieldValue(line, "data")) {
            event.data += event.hasData ? "\n" : "";
            event.data += *data;
            event.hasData = true;
        }
    }
    return event;
}

} // namespace

EventReader::EventReader(std::uint64_t lastId)
    : lastId_(lastId)
{
}

std::vector<StreamEvent> EventReader::feed(std::string_view bytes)
{
    std::vector<StreamEvent> accepted;
    if (broken_) {
        return accepted;
    }
    buffer_ += bytes;
    std::size_t consumed = 0;
    while (!broken_) {
        const std::string_view unread = std::string_view(buffer_).substr(consumed);
        const std::size_t end = endOfEvent(unread);
        if (end == std::string_view::npos) {
            break;
        }
        acceptEvent(unread.substr(0, end), accepted);
        consumed += end;
    }
    buffer_.erase(0, consumed);
    if (buffer_.size() > maxEventBytes) {
        broken_ = true;
        buffer_ = std::string();
    }
    return accepted;
}

void EventReader::acceptEvent(std::string_view raw, std::vector<StreamEvent> &accepted)
{
    ParsedEvent event = parseEvent(raw);
    if (!event.id) {
        broken_ = true;
        return;
    }
    if (lastId_ && *event.id <= *lastId_) {
        return;
    }
    if (lastId_ && *event.id != *lastId_ + 1) {
        broken_ = true;
        return;
    }
    lastId_ = event.id;
    accepted.push_back(StreamEvent{*event.id, std::string(raw), std::move(event.data)});
}

void EventReader::reopen()
{
    buffer_.clear();
    broken_ = false;
}

std::optional<std::uint64_t> EventReader::lastId() const
{
    return lastId_;
}

bool EventReader::isBroken() const
{
    return broken_;
}

bool EventReader::isInsideEvent() const
{
    return !buffer_.empty();
}

} // namespace persimmonlb
