#include "persimmonlb/serving/tokenstream.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace persimmonlb
{

namespace
{

using Json = nlohmann::json;

constexpr std::size_t longestEvent = 4UL * 1024 * 1024;
constexpr std::string_view endMark = "[DONE]";

/// Fields of one event that matter here.
struct EventFields {
    std::string name;
    std::string data;
    bool hasData = false;
};

std::string_view fieldValue(std::string_view line, std::size_t colon)
{
    std::string_view value = line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    return value;
}

EventFields readFields(std::string_view event)
{
    EventFields result;
    while (!event.empty()) {
        const std::size_t end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos || colon == 0) {
            continue;
        }
        const std::string_view name = line.substr(0, colon);
        if (name == "event") {
            result.name = std::string(fieldValue(line, colon));
        }
        if (name == "data") {
            // A line break between two lines of JSON is white space.
            result.data += result.hasData ? " " : "";
            result.data += fieldValue(line, colon);
            result.hasData = true;
        }
    }
    return result;
}

/// What a token says of the end of its answer, in choices[].finish_reason.
enum class FinishMark { Absent, NotYet, Finished };

FinishMark finishMarkOf(const Json &token)
{
    const auto choices = token.find("choices");
    if (choices == token.end() || !choices->is_array()) {
        return FinishMark::Absent;
    }
    FinishMark result = FinishMark::Absent;
    for (const Json &choice : *choices) {
        const auto reason = choice.is_object() ? choice.find("finish_reason") : choice.end();
        if (!choice.is_object() || reason == choice.end()) {
            continue;
        }
        if (reason->is_null()) {
            return FinishMark::NotYet;
        }
        result = FinishMark::Finished;
    }
    return result;
}

/// End of the first complete event in `text` (after its empty line), or npos.
std::size_t eventEnd(std::string_view text)
{
    const std::size_t plain = text.find("\n\n");
    const std::size_t withReturns = text.find("\n\r\n");
    const std::size_t first = std::min(plain, withReturns);
    if (first == std::string_view::npos) {
        return first;
    }
    return first + (first == plain ? 2 : 3);
}

} // namespace

TokenStream::TokenStream(std::string requestId)
    : requestId_(std::move(requestId))
{
}

std::vector<std::string> TokenStream::feed(std::string_view bytes)
{
    std::vector<std::string> passed;
    buffer_ += bytes;
    std::size_t start = 0;
    while (state_ == State::Open) {
        const std::string_view rest = std::string_view(buffer_).substr(start);
        const std::size_t end = eventEnd(rest);
        if (end == std::string_view::npos) {
            break;
        }
        takeEvent(rest.substr(0, end), passed);
        start += end;
    }
    buffer_.erase(0, start);
    if (state_ == State::Open && buffer_.size() > longestEvent) {
        breakStream("an event is too long");
    }
    return passed;
}

void TokenStream::takeEvent(std::string_view event, std::vector<std::string> &passed)
{
    const EventFields fields = readFields(event);
    if (fields.name == "error") {
        breakStream("the backend server ended the stream with an error");
        return;
    }
    if (!fields.hasData) {
        return;
    }
    if (fields.data == endMark) {
        takeEnd();
        return;
    }
    const Json token = Json::parse(fields.data, nullptr, false);
    const auto id = token.is_object() ? token.find("id") : token.end();
    const auto index = token.is_object() ? token.find("index") : token.end();
    const bool isOurs = token.is_object() && id != token.end() && id->is_string()
        && id->get_ref<const std::string &>() == requestId_;
    const bool isNumbered
        = token.is_object() && index != token.end() && index->is_number_unsigned();
    if (!isOurs || !isNumbered || index->get<std::uint64_t>() < nextIndex_) {
        ++dropped_;
        return;
    }
    if (index->get<std::uint64_t>() > nextIndex_) {
        breakStream("token " + std::to_string(nextIndex_) + " is missing");
        return;
    }
    ++nextIndex_;
    const FinishMark mark = finishMarkOf(token);
    unfinished_ = mark == FinishMark::NotYet || (unfinished_ && mark == FinishMark::Absent);
    passed.emplace_back("data: " + fields.data + "\n\n");
}

void TokenStream::takeEnd()
{
    if (nextIndex_ == 0 || unfinished_) {
        breakStream("the stream ended before its last token");
        return;
    }
    state_ = State::Ended;
}

void TokenStream::breakStream(std::string fault)
{
    state_ = State::Broken;
    fault_ = std::move(fault);
}

void TokenStream::reopen()
{
    state_ = State::Open;
    buffer_.clear();
    fault_.clear();
}

TokenStream::State TokenStream::state() const
{
    return state_;
}

std::uint64_t TokenStream::nextIndex() const
{
    return nextIndex_;
}

const std::string &TokenStream::fault() const
{
    return fault_;
}

std::uint64_t TokenStream::dropped() const
{
    return dropped_;
}

std::string errorEvent(std::string_view errorBody)
{
    std::string text = "event: error\ndata: ";
    text += errorBody;
    text += "\n\n";
    return text;
}

} // namespace persimmonlb
