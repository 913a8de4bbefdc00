#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "persimmonlb/base/clock.h"

namespace persimmonlb
{

struct HttpHeader {
    std::string name;
    std::string value;

    bool operator==(const HttpHeader &) const = default;
};

/// Headers in order; names compare without case.
struct HttpHeaders {
    std::vector<HttpHeader> fields;

    /// Value of the first field with this name, or empty.
    [[nodiscard]] std::string_view find(std::string_view name) const;
    [[nodiscard]] bool contains(std::string_view name) const;
    bool operator==(const HttpHeaders &) const = default;
};

/// A whole request: the body has been read.
struct HttpRequest {
    std::string method;
    std::string target; ///< Path and query as sent.
    HttpHeaders headers;
    std::string body;
    std::string remoteAddress; ///< Server side only.

    bool operator==(const HttpRequest &) const = default;
};

/// A whole answer.
struct HttpResponse {
    std::uint16_t status = 200;
    HttpHeaders headers;
    std::string body;

    bool operator==(const HttpResponse &) const = default;
};

/// Status line and headers of an answer whose body follows in chunks.
struct HttpResponseHead {
    std::uint16_t status = 200;
    HttpHeaders headers;

    bool operator==(const HttpResponseHead &) const = default;
};

} // namespace persimmonlb
