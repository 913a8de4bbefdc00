#include "persimmonlb/ctl/eventreader.h"

#include <utility>

namespace persimmonlb
{

EventReader::EventReader(std::function<void(const ServerEvent &)> handler)
    : handler_(std::move(handler))
{
}

void EventReader::feed(std::string_view piece)
{
    pending_ += piece;
    std::size_t start = 0;
    for (auto end = pending_.find('\n'); end != std::string::npos;
         end = pending_.find('\n', start)) {
        std::string_view line = std::string_view(pending_).substr(start, end - start);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        takeLine(line);
        start = end + 1;
    }
    pending_.erase(0, start);
}

void EventReader::takeLine(std::string_view line)
{
    if (line.empty()) {
        const ServerEvent event = std::exchange(event_, ServerEvent{});
        if (!event.data.empty() || !event.event.empty()) {
            handler_(event);
        }
        return;
    }
    const auto colon = line.find(':');
    const std::string_view field = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? "" : line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    if (field == "event") {
        event_.event = value;
    } else if (field == "data") {
        event_.data += event_.data.empty() ? "" : "\n";
        event_.data += value;
    }
}

} // namespace persimmonlb
