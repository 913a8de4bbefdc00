#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "persimmonlb/http/message.h"

/// Text form of message heads and chunks. Fields that frame a message or belong to one
/// connection (Content-Length, Transfer-Encoding, Connection, ...) are never copied from the
/// message's headers: this module writes its own. Control bytes in values become spaces.
namespace persimmonlb::internal
{

/// How an answer's body is delimited and what becomes of the connection.
struct AnswerFraming {
    bool chunked = false;
    std::optional<std::uint64_t> contentLength;
    bool close = false;
    bool announceKeepAlive = false; ///< For HTTP/1.0 callers that asked for it.
};

/// True when an answer with this status has no body.
bool statusHasNoBody(std::uint16_t status);

std::string formatAnswerHead(std::uint16_t status, const HttpHeaders &headers,
                             const AnswerFraming &framing);

/// Head of a request with a Content-Length body; adds Host when the headers have none.
std::string formatRequestHead(const HttpRequest &request, std::string_view address);

/// True when method, target and field names hold no byte that could end or split a line.
bool isSendable(const HttpRequest &request);

void appendChunk(std::string &out, std::string_view chunk);

constexpr std::string_view lastChunk = "0\r\n\r\n";
constexpr std::string_view continueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace persimmonlb::internal
