#include "persimmonlb/testing/fakeanswer.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <nlohmann/json.hpp>

#include "persimmonlb/base/digest.h"

namespace persimmonlb
{

namespace
{

using Json = nlohmann::json;

constexpr std::uint32_t maxAnswerTokens = 100000;

std::string toHex(std::uint64_t value)
{
    std::array<char, 16> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, 16);
    return {digits.data(), end.ptr};
}

std::string promptOf(const Json &messages)
{
    std::string prompt;
    for (const Json &message : messages) {
        if (!message.is_object()) {
            prompt += message.dump();
            continue;
        }
        prompt += message.value("role", Json("")).dump();
        prompt += message.value("content", Json("")).dump();
    }
    return prompt;
}

} // namespace

ChatRequest parseChatRequest(std::string_view body)
{
    ChatRequest request;
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("messages") || !json["messages"].is_array()) {
        return request;
    }
    const Json &messages = json["messages"];
    request.answerKey = stableHash(messages.dump(-1, ' ', false, Json::error_handler_t::replace));
    request.prompt = promptOf(messages);
    const auto tokens = json.find("max_tokens");
    if (tokens != json.end() && tokens->is_number_unsigned()) {
        request.maxTokens = static_cast<std::uint32_t>(
            std::clamp<std::uint64_t>(tokens->get<std::uint64_t>(), 1, maxAnswerTokens));
    }
    const auto stream = json.find("stream");
    request.stream = stream != json.end() && stream->is_boolean() && stream->get<bool>();
    request.valid = true;
    return request;
}

std::string answerToken(std::uint64_t answerKey, std::uint32_t index)
{
    constexpr unsigned shownBits = 32;
    return toHex(combineHash(answerKey, index) >> shownBits) + ' ';
}

std::string answerText(std::uint64_t answerKey, std::uint32_t count)
{
    std::string text;
    for (std::uint32_t index = 0; index < count; ++index) {
        text += answerToken(answerKey, index);
    }
    return text;
}

std::string plainCheckValue(std::string_view query, std::string_view body)
{
    return toHex(combineHash(stableHash(query), stableHash(body)));
}

} // namespace persimmonlb
