#include "persimmonlb/http/internal/wireformat.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <boost/beast/http/status.hpp>
#include <boost/beast/http/verb.hpp>

namespace persimmonlb::internal
{

namespace
{

constexpr std::array<std::string_view, 9> framingFields
    = {"content-length", "transfer-encoding", "connection", "keep-alive", "proxy-connection", "te",
       "trailer",        "upgrade",           "expect"};

bool equalsLowerCase(std::string_view text, std::string_view lowerCase)
{
    return std::ranges::equal(text, lowerCase, [](char left, char right) {
        return (left >= 'A' && left <= 'Z' ? left - 'A' + 'a' : left) == right;
    });
}

bool isFramingField(std::string_view name)
{
    return std::ranges::any_of(
        framingFields, [name](std::string_view field) { return equalsLowerCase(name, field); });
}

bool isControl(char byte)
{
    return (static_cast<unsigned char>(byte) < 0x20 && byte != '\t') || byte == 0x7f;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::ranges::none_of(text, [](char byte) {
        return isControl(byte) || byte == ' ' || byte == ':' || byte == '\t';
    });
}

void appendField(std::string &out, std::string_view name, std::string_view value)
{
    out += name;
    out += ": ";
    const std::size_t start = out.size();
    out += value;
    std::replace_if(out.begin() + static_cast<std::ptrdiff_t>(start), out.end(), isControl, ' ');
    out += "\r\n";
}

void appendNumber(std::string &out, std::uint64_t number, int base = 10)
{
    std::array<char, 24> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number, base).ptr;
    out.append(digits.data(), end);
}

void appendContentLength(std::string &out, std::uint64_t length)
{
    out += "Content-Length: ";
    appendNumber(out, length);
    out += "\r\n";
}

void appendFields(std::string &out, const HttpHeaders &headers)
{
    for (const HttpHeader &field : headers.fields) {
        if (!isToken(field.name) || isFramingField(field.name)) {
            continue;
        }
        appendField(out, field.name, field.value);
    }
}

} // namespace

bool statusHasNoBody(std::uint16_t status)
{
    constexpr std::uint16_t noContent = 204;
    constexpr std::uint16_t notModified = 304;
    return status < 200 || status == noContent || status == notModified;
}

std::string formatAnswerHead(std::uint16_t status, const HttpHeaders &headers,
                             const AnswerFraming &framing)
{
    std::string out = "HTTP/1.1 ";
    appendNumber(out, status);
    out += ' ';
    out += boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    out += "\r\n";
    appendFields(out, headers);
    if (framing.contentLength) {
        appendContentLength(out, *framing.contentLength);
    }
    if (framing.chunked) {
        out += "Transfer-Encoding: chunked\r\n";
    }
    if (framing.close) {
        out += "Connection: close\r\n";
    } else if (framing.announceKeepAlive) {
        out += "Connection: keep-alive\r\n";
    }
    out += "\r\n";
    return out;
}

std::string formatRequestHead(const HttpRequest &request, std::string_view address)
{
    std::string out = request.method;
    out += ' ';
    out += request.target;
    out += " HTTP/1.1\r\n";
    if (!request.headers.contains("Host")) {
        appendField(out, "Host", address);
    }
    appendFields(out, request.headers);
    const bool usuallyHasBody
        = request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
    if (!request.body.empty() || usuallyHasBody) {
        appendContentLength(out, request.body.size());
    }
    out += "\r\n";
    return out;
}

bool isSendable(const HttpRequest &request)
{
    const bool targetIsPlain = !request.target.empty()
        && std::ranges::none_of(request.target,
                                [](char byte) { return isControl(byte) || byte <= ' '; });
    return isToken(request.method) && targetIsPlain;
}

void appendChunk(std::string &out, std::string_view chunk)
{
    constexpr int hexadecimal = 16;
    appendNumber(out, chunk.size(), hexadecimal);
    out += "\r\n";
    out += chunk;
    out += "\r\n";
}

} // namespace persimmonlb::internal
