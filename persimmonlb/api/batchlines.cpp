#include "persimmonlb/api/batchlines.h"

#include <charconv>
#include <ctime>
#include <string>
#include <unordered_set>

#include <nlohmann/json.hpp>

#include "persimmonlb/base/boundedjson.h"

namespace persimmonlb
{

namespace
{

using Json = nlohmann::json;

boost::leaf::error_id badLine(std::size_t number, const std::string &why)
{
    return fail(ResultCode::BadItem, "line " + std::to_string(number) + ": " + why);
}

Result<ItemSpec> parseLine(std::string_view line, std::size_t number)
{
    const Json json = parseBoundedJson(line);
    if (!json.is_object()) {
        return badLine(number, "is not a JSON object");
    }
    ItemSpec item;
    for (const auto &[key, value] : json.items()) {
        if (key == "custom_id" && value.is_string()
            && !value.get_ref<const std::string &>().empty()) {
            item.customId = value.get<std::string>();
            continue;
        }
        if (key == "idempotent" && value.is_boolean()) {
            item.idempotent = value.get<bool>();
            continue;
        }
        if (key == "body" && value.is_object()) {
            item.body = value.dump(-1, ' ', false, Json::error_handler_t::replace);
            continue;
        }
        return badLine(number, "field \"" + key + "\" is unknown or of the wrong type");
    }
    if (item.customId.empty()) {
        return badLine(number, "custom_id is missing");
    }
    if (item.body.empty()) {
        return badLine(number, "body is missing");
    }
    return item;
}

/// Two or four digits at `position` as a number, or -1.
int digitsAt(std::string_view text, std::size_t position, std::size_t count)
{
    int value = 0;
    const char *first = text.data() + position;
    const auto [end, error] = std::from_chars(first, first + count, value);
    return error == std::errc() && end == first + count ? value : -1;
}

Result<WallTime> parseRfc3339(std::string_view text)
{
    constexpr std::string_view shape = "0000-00-00T00:00:00Z";
    const auto malformed = [&] {
        return fail(ResultCode::MalformedRequest,
                    "due \"" + std::string(text)
                        + "\" is neither milliseconds since 1970 nor like 2026-12-05T06:00:00Z");
    };
    if (text.size() != shape.size()) {
        return malformed();
    }
    for (std::size_t i = 0; i < shape.size(); ++i) {
        const bool digit = text[i] >= '0' && text[i] <= '9';
        if (shape[i] == '0' ? !digit : text[i] != shape[i]) {
            return malformed();
        }
    }
    std::tm parts{};
    parts.tm_year = digitsAt(text, 0, 4) - 1900;
    parts.tm_mon = digitsAt(text, 5, 2) - 1;
    parts.tm_mday = digitsAt(text, 8, 2);
    parts.tm_hour = digitsAt(text, 11, 2);
    parts.tm_min = digitsAt(text, 14, 2);
    parts.tm_sec = digitsAt(text, 17, 2);
    const std::tm asked = parts;
    const std::time_t seconds = timegm(&parts);
    const bool real = parts.tm_mon == asked.tm_mon && parts.tm_mday == asked.tm_mday
        && parts.tm_hour == asked.tm_hour && parts.tm_min == asked.tm_min;
    if (!real) {
        return malformed();
    }
    return WallTime(Milliseconds(seconds * 1000));
}

} // namespace

Result<std::vector<ItemSpec>> parseBatchLines(std::string_view text)
{
    std::vector<ItemSpec> items;
    std::unordered_set<std::string> seen;
    std::size_t number = 0;
    while (!text.empty()) {
        ++number;
        const std::size_t end = text.find('\n');
        std::string_view line = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (line.empty()) {
            continue;
        }
        if (items.size() >= maxItemsPerJob) {
            return fail(ResultCode::BodyTooLarge,
                        "more than " + std::to_string(maxItemsPerJob) + " items");
        }
        BOOST_LEAF_AUTO(item, parseLine(line, number));
        if (!seen.insert(item.customId).second) {
            return badLine(number, "custom_id \"" + item.customId + "\" twice");
        }
        items.push_back(std::move(item));
    }
    if (items.empty()) {
        return fail(ResultCode::MalformedRequest, "the job has no item");
    }
    return items;
}

Result<WallTime> parseDueTime(std::string_view text)
{
    std::int64_t milliseconds = 0;
    const char *last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, milliseconds);
    if (error == std::errc() && end == last && milliseconds > 0) {
        return WallTime(Milliseconds(milliseconds));
    }
    return parseRfc3339(text);
}

} // namespace persimmonlb
