#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace persimmonlb
{

/// One server-sent event.
struct ServerEvent {
    std::string event; ///< Empty for the default kind.
    std::string data;

    bool operator==(const ServerEvent &) const = default;
};

/// Splits a text/event-stream into events, however its bytes are cut into pieces.
class EventReader
{
public:
    explicit EventReader(std::function<void(const ServerEvent &)> handler);

    void feed(std::string_view piece);

private:
    void takeLine(std::string_view line);

    std::function<void(const ServerEvent &)> handler_;
    std::string pending_; // start of a line
    ServerEvent event_;
};

} // namespace persimmonlb
