#include "persimmonlb/testing/workload.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "persimmonlb/base/digest.h"
#include "persimmonlb/testing/fakeanswer.h"

namespace persimmonlb
{

using Json = nlohmann::json;

namespace
{

std::uint32_t draw(const NumberRange &range, const RandomSource &random)
{
    const std::uint64_t size = std::uint64_t{range.most} - range.least + 1;
    return range.least + static_cast<std::uint32_t>(random() % size);
}

/// `size` letters that follow from `seed`.
std::string letters(std::uint64_t seed, std::size_t size)
{
    constexpr std::string_view alphabet = "abcdefghijklmnopqrstuvwxyz      ";
    std::string text;
    text.reserve(size);
    while (text.size() < size) {
        seed = combineHash(seed, text.size());
        for (std::uint64_t bits = seed; bits != 0 && text.size() < size; bits /= alphabet.size()) {
            text += alphabet[bits % alphabet.size()];
        }
    }
    return text;
}

} // namespace

ChatCall makeChatCall(const std::string &service, const ChatShape &shape, bool stream,
                      const RandomSource &random)
{
    const std::uint64_t group = random() % std::max(shape.prefixGroups, 1U);
    const std::uint32_t promptBytes = draw(shape.promptBytes, random);
    const std::uint32_t tokens = std::max(draw(shape.tokens, random), 1U);
    Json messages = Json::array();
    messages.push_back({{"role", "system"}, {"content", letters(group + 1, shape.prefixBytes)}});
    messages.push_back({{"role", "user"}, {"content", letters(random(), promptBytes)}});
    const Json body{
        {"model", service}, {"messages", messages}, {"max_tokens", tokens}, {"stream", stream}};
    ChatCall call;
    call.body = body.dump();
    call.answerKey = parseChatRequest(call.body).answerKey;
    call.tokens = tokens;
    return call;
}

std::string makeBatchLine(std::uint32_t index, const ChatCall &call)
{
    return "{\"custom_id\":\"item-" + std::to_string(index)
        + "\",\"idempotent\":true,\"body\":" + call.body + "}\n";
}

} // namespace persimmonlb
