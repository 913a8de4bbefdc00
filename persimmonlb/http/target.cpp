#include "persimmonlb/http/target.h"

namespace persimmonlb
{

namespace
{

std::optional<unsigned> hexValue(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    if (digit >= 'a' && digit <= 'f') {
        return digit - 'a' + 10;
    }
    if (digit >= 'A' && digit <= 'F') {
        return digit - 'A' + 10;
    }
    return std::nullopt;
}

/// Splits off the part up to `separator`; leaves the rest in `text`.
std::string_view takeUntil(std::string_view &text, char separator)
{
    const std::size_t end = text.find(separator);
    const std::string_view part = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    return part;
}

std::optional<std::string> decodeField(std::string_view text, bool plusIsSpace)
{
    std::optional<std::string> decoded = percentDecode(text, plusIsSpace);
    if (decoded && decoded->find('\0') != std::string::npos) {
        return std::nullopt;
    }
    return decoded;
}

/// Cuts "http://host" off an absolute-form target.
std::string_view withoutAuthority(std::string_view target)
{
    const std::size_t scheme = target.find("://");
    if (target.starts_with('/') || scheme == std::string_view::npos) {
        return target;
    }
    const std::size_t path = target.find('/', scheme + 3);
    return path == std::string_view::npos ? std::string_view("/") : target.substr(path);
}

bool parseSegments(std::string_view path, HttpTarget &parsed)
{
    path.remove_prefix(1);
    while (!path.empty()) {
        std::optional<std::string> segment = decodeField(takeUntil(path, '/'), false);
        if (!segment) {
            return false;
        }
        parsed.segments.push_back(std::move(*segment));
    }
    return true;
}

bool parseParameters(std::string_view query, HttpTarget &parsed)
{
    while (!query.empty()) {
        std::string_view value = takeUntil(query, '&');
        if (value.empty()) {
            continue;
        }
        std::optional<std::string> name = decodeField(takeUntil(value, '='), true);
        std::optional<std::string> decoded = decodeField(value, true);
        if (!name || !decoded) {
            return false;
        }
        parsed.parameters.emplace_back(std::move(*name), std::move(*decoded));
    }
    return true;
}

} // namespace

std::optional<std::string_view> HttpTarget::parameter(std::string_view name) const
{
    for (const auto &[key, value] : parameters) {
        if (key == name) {
            return value;
        }
    }
    return std::nullopt;
}

std::optional<std::string> percentDecode(std::string_view text, bool plusIsSpace)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '+' && plusIsSpace) {
            decoded += ' ';
            continue;
        }
        if (text[i] != '%') {
            decoded += text[i];
            continue;
        }
        if (i + 2 >= text.size()) {
            return std::nullopt;
        }
        const std::optional<unsigned> high = hexValue(text[i + 1]);
        const std::optional<unsigned> low = hexValue(text[i + 2]);
        if (!high || !low) {
            return std::nullopt;
        }
        decoded += static_cast<char>(*high * 16 + *low);
        i += 2;
    }
    return decoded;
}

Outcome<HttpTarget> parseTarget(std::string_view target)
{
    std::string_view rest = withoutAuthority(target);
    if (!rest.starts_with('/')) {
        return makeError(ResultCode::MalformedRequest, "the target does not start with a slash");
    }
    rest = rest.substr(0, rest.find('#'));
    HttpTarget parsed;
    parsed.path = takeUntil(rest, '?');
    parsed.query = rest;
    if (!parseSegments(parsed.path, parsed) || !parseParameters(parsed.query, parsed)) {
        return makeError(ResultCode::MalformedRequest, "the target holds a broken escape");
    }
    return parsed;
}

} // namespace persimmonlb
