#include "persimmonlb/testing/answercheck.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "persimmonlb/testing/fakeanswer.h"

namespace persimmonlb
{

using Json = nlohmann::json;

namespace
{

/// Follows `path` through objects and arrays; null where it leads nowhere.
Json at(const Json &json, const char *pointer)
{
    const Json::json_pointer path(pointer);
    return json.contains(path) ? json[path] : Json();
}

} // namespace

StreamCheck::StreamCheck(std::uint64_t answerKey, std::uint32_t tokens)
    : answerKey_(answerKey)
    , tokens_(tokens)
    , reader_([this](const ServerEvent &event) { take(event); })
{
}

std::uint32_t StreamCheck::feed(std::string_view piece)
{
    const std::uint32_t before = received_;
    reader_.feed(piece);
    return received_ - before;
}

void StreamCheck::take(const ServerEvent &event)
{
    if (done_) {
        fail("an event after the end");
        return;
    }
    if (event.event == "error") {
        const Json code = at(Json::parse(event.data, nullptr, false), "/error/code");
        errorCode_ = code.is_number_unsigned() ? code.get<std::uint16_t>() : 0;
        done_ = true;
        return;
    }
    if (event.data == "[DONE]") {
        done_ = true;
        if (received_ != tokens_) {
            fail("marked as done after " + std::to_string(received_) + " tokens");
        }
        return;
    }
    takeToken(event.data);
}

void StreamCheck::takeToken(const std::string &data)
{
    const Json json = Json::parse(data, nullptr, false);
    const Json id = at(json, "/id");
    const Json index = at(json, "/index");
    const Json text = at(json, "/choices/0/delta/content");
    if (!id.is_string() || !index.is_number_unsigned() || !text.is_string()) {
        fail("not a token: " + data);
        return;
    }
    if (id_.empty()) {
        id_ = id.get<std::string>();
    }
    if (id != id_) {
        fail("token of request " + id.get<std::string>() + " within " + id_);
    }
    if (index != received_) {
        fail("token " + index.dump() + " in place of " + std::to_string(received_));
    }
    if (text != answerToken(answerKey_, received_)) {
        fail("token " + std::to_string(received_) + " has other text");
    }
    ++received_;
}

void StreamCheck::fail(std::string reason)
{
    failed_ = true;
    if (reason_.empty()) {
        reason_ = std::move(reason);
    }
}

AnswerVerdict StreamCheck::verdict() const
{
    if (failed_) {
        return AnswerVerdict::Wrong;
    }
    if (errorCode_ != 0) {
        return AnswerVerdict::Refused;
    }
    return done_ ? AnswerVerdict::Whole : AnswerVerdict::Short;
}

std::uint16_t StreamCheck::errorCode() const
{
    return errorCode_;
}

const std::string &StreamCheck::reason() const
{
    return reason_;
}

AnswerVerdict checkWholeAnswer(std::string_view body, std::uint64_t answerKey, std::uint32_t tokens)
{
    const Json json = Json::parse(body, nullptr, false);
    const Json text = at(json, "/choices/0/message/content");
    if (!text.is_string()) {
        return AnswerVerdict::Short;
    }
    return text == answerText(answerKey, tokens) ? AnswerVerdict::Whole : AnswerVerdict::Wrong;
}

AnswerVerdict checkPlainAnswer(std::string_view body, std::string_view query,
                               std::string_view requestBody)
{
    const Json check = at(Json::parse(body, nullptr, false), "/check");
    if (!check.is_string()) {
        return AnswerVerdict::Short;
    }
    return check == plainCheckValue(query, requestBody) ? AnswerVerdict::Whole
                                                        : AnswerVerdict::Wrong;
}

} // namespace persimmonlb
