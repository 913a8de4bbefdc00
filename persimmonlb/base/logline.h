#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace persimmonlb
{

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// One event as one line of key=value pairs.
///
/// Example:
///   LogLine(LogLevel::Info, "sheet_accepted").add("number", number).write();
/// writes
///   2026-12-04T02:16:32.120Z level=info event=sheet_accepted number=12
/// Values with spaces, quotes or control bytes are quoted and escaped. Thread-safe to write.
class LogLine
{
public:
    LogLine(LogLevel level, std::string_view event);

    LogLine &add(std::string_view key, std::string_view value);
    LogLine &add(std::string_view key, std::int64_t value);

    /// The pairs without the time.
    [[nodiscard]] const std::string &text() const;

    /// Writes the line through easylogging++; does nothing before startLogging().
    void write() const;

private:
    LogLevel level_;
    std::string text_;
};

/// Sets up easylogging++: lines go to standard output without holding up the caller
/// (base/linewriter.h), those below `least` are dropped. A later call changes the level alone.
void startLogging(LogLevel least);

/// Writes what waits and ends the writer. Call once the other threads have ended.
void stopLogging();

} // namespace persimmonlb
