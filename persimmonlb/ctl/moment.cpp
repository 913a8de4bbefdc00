#include "persimmonlb/ctl/moment.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cstdio>

namespace persimmonlb
{

namespace
{

using std::chrono::days;
using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

/// Takes `digits` digits off the front of `text`, or nothing.
std::optional<int> takeNumber(std::string_view &text, std::size_t digits)
{
    int number = 0;
    if (text.size() < digits) {
        return std::nullopt;
    }
    const char *end = text.data() + digits;
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end || number < 0) {
        return std::nullopt;
    }
    text.remove_prefix(digits);
    return number;
}

bool takeChar(std::string_view &text, char expected)
{
    if (text.empty() || text.front() != expected) {
        return false;
    }
    text.remove_prefix(1);
    return true;
}

std::optional<WallTime> takeDate(std::string_view &text)
{
    const auto year = takeNumber(text, 4);
    const bool firstDash = year && takeChar(text, '-');
    const auto month = firstDash ? takeNumber(text, 2) : std::nullopt;
    const bool secondDash = month && takeChar(text, '-');
    const auto day = secondDash ? takeNumber(text, 2) : std::nullopt;
    if (!day) {
        return std::nullopt;
    }
    const std::chrono::year_month_day date(std::chrono::year(*year),
                                           std::chrono::month(static_cast<unsigned>(*month)),
                                           std::chrono::day(static_cast<unsigned>(*day)));
    if (!date.ok()) {
        return std::nullopt;
    }
    return WallTime(std::chrono::sys_days(date));
}

/// "06:00:00" with an optional fraction, which is dropped.
std::optional<seconds> takeClock(std::string_view &text)
{
    constexpr int hoursPerDay = 24;
    constexpr int minutesPerHour = 60;
    const auto hour = takeNumber(text, 2);
    const bool firstColon = hour && takeChar(text, ':');
    const auto minute = firstColon ? takeNumber(text, 2) : std::nullopt;
    const bool secondColon = minute && takeChar(text, ':');
    const auto second = secondColon ? takeNumber(text, 2) : std::nullopt;
    if (!second || *hour >= hoursPerDay || *minute >= minutesPerHour || *second > minutesPerHour) {
        return std::nullopt;
    }
    if (takeChar(text, '.')) {
        text.remove_prefix(std::min(text.find_first_not_of("0123456789"), text.size()));
    }
    return hours(*hour) + minutes(*minute) + seconds(*second);
}

/// "Z" or "+01:00", which must end the text.
std::optional<seconds> takeOffset(std::string_view text)
{
    if (text == "Z" || text == "z") {
        return seconds(0);
    }
    const int sign = text.starts_with('-') ? -1 : 1;
    if (!takeChar(text, '+') && !takeChar(text, '-')) {
        return std::nullopt;
    }
    const auto hour = takeNumber(text, 2);
    const bool colon = hour && takeChar(text, ':');
    const auto minute = colon ? takeNumber(text, 2) : std::nullopt;
    if (!minute || !text.empty()) {
        return std::nullopt;
    }
    return sign * (hours(*hour) + minutes(*minute));
}

std::optional<WallTime> parseCalendar(std::string_view text)
{
    const auto date = takeDate(text);
    if (!date || text.empty()) {
        return date;
    }
    const bool separated = takeChar(text, 'T') || takeChar(text, ' ');
    const auto clock = separated ? takeClock(text) : std::nullopt;
    const auto offset = clock ? takeOffset(text) : std::nullopt;
    if (!offset) {
        return std::nullopt;
    }
    return *date + *clock - *offset;
}

std::optional<WallTime> parseDistance(std::string_view text, WallTime now)
{
    const int sign = text.front() == '-' ? -1 : 1;
    text.remove_prefix(1);
    std::int64_t count = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, count);
    constexpr std::int64_t mostDistance = 1000000;
    if (parsed.ec != std::errc() || parsed.ptr + 1 != end || count < 0 || count > mostDistance) {
        return std::nullopt;
    }
    switch (*parsed.ptr) {
    case 's':
        return now + sign * seconds(count);
    case 'm':
        return now + sign * minutes(count);
    case 'h':
        return now + sign * hours(count);
    case 'd':
        return now + sign * days(count);
    default:
        return std::nullopt;
    }
}

} // namespace

std::optional<WallTime> parseMoment(std::string_view text, WallTime now)
{
    if (text.empty()) {
        return std::nullopt;
    }
    if (text.front() == '+' || text.front() == '-') {
        return parseDistance(text, now);
    }
    std::int64_t epoch = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, epoch);
    if (parsed.ec == std::errc() && parsed.ptr == end) {
        return WallTime(Milliseconds(epoch));
    }
    return parseCalendar(text);
}

std::string formatMoment(std::int64_t epochMilliseconds)
{
    if (epochMilliseconds == 0) {
        return "-";
    }
    const WallTime at{Milliseconds(epochMilliseconds)};
    const auto day = std::chrono::floor<days>(at);
    const std::chrono::year_month_day date(day);
    const std::chrono::hh_mm_ss time(std::chrono::floor<seconds>(at - day));
    std::array<char, 64> text{};
    const int size = std::snprintf(
        text.data(), text.size(), "%04d-%02u-%02u %02d:%02d:%02d", static_cast<int>(date.year()),
        static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()),
        static_cast<int>(time.hours().count()), static_cast<int>(time.minutes().count()),
        static_cast<int>(time.seconds().count()));
    return {text.data(), static_cast<std::size_t>(size)};
}

} // namespace persimmonlb
