#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Text that the stand-in servers answer. It follows from the request alone, so that whoever sent
/// the request can tell a whole answer from a short, mixed or doubled one.
namespace persimmonlb
{

/// Tokens of an answer when the request names no `max_tokens`.
constexpr std::uint32_t defaultAnswerTokens = 16;

/// What a stand-in engine reads from the body of a chat request.
struct ChatRequest {
    std::uint64_t answerKey = 0; ///< Hash of the `messages` value; its formatting does not matter.
    std::string prompt; ///< Roles and contents of the messages, one after the other.
    std::uint32_t maxTokens = defaultAnswerTokens;
    bool stream = false;
    bool valid = false; ///< False when the body is no JSON object with an array `messages`.

    bool operator==(const ChatRequest &) const = default;
};

/// Never throws, whatever the body.
ChatRequest parseChatRequest(std::string_view body);

/// Token number `index` of the answer with this key, with the space that ends it.
std::string answerToken(std::uint64_t answerKey, std::uint32_t index);

/// Tokens 0 to `count` - 1.
std::string answerText(std::uint64_t answerKey, std::uint32_t count);

/// Check value in the answer of a plain service, from the query (without '?') and the body.
std::string plainCheckValue(std::string_view query, std::string_view body);

} // namespace persimmonlb
