#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "persimmonlb/ctl/eventreader.h"

namespace persimmonlb
{

/// What an answer turned out to be.
enum class AnswerVerdict : std::uint8_t {
    Whole, ///< Every token once, in order, of this request.
    Wrong, ///< A token of another request, out of order, or doubled.
    Short, ///< Ended without its last token and without saying so.
    Refused, ///< Ended with an error event; its code is known.
};

/// Checks the streamed answer of a stand-in engine while it arrives.
class StreamCheck
{
public:
    /// Expects tokens 0 to `tokens` - 1 of the answer with this key (testing/fakeanswer.h).
    StreamCheck(std::uint64_t answerKey, std::uint32_t tokens);
    StreamCheck(const StreamCheck &) = delete;
    StreamCheck &operator=(const StreamCheck &) = delete;

    /// Takes bytes of the stream; returns how many tokens they completed.
    std::uint32_t feed(std::string_view piece);
    /// The verdict once the stream has ended.
    [[nodiscard]] AnswerVerdict verdict() const;
    /// Result code of the error event, or 0.
    [[nodiscard]] std::uint16_t errorCode() const;
    /// Why the verdict is Wrong.
    [[nodiscard]] const std::string &reason() const;

private:
    void take(const ServerEvent &event);
    void takeToken(const std::string &data);
    void fail(std::string reason);

    std::uint64_t answerKey_;
    std::uint32_t tokens_;
    EventReader reader_;
    std::uint32_t received_ = 0;
    std::string id_;
    bool done_ = false;
    bool failed_ = false;
    std::uint16_t errorCode_ = 0;
    std::string reason_;
};

/// Checks a whole JSON answer of a stand-in engine.
AnswerVerdict checkWholeAnswer(std::string_view body, std::uint64_t answerKey,
                               std::uint32_t tokens);

/// Checks the answer of a stand-in plain service.
AnswerVerdict checkPlainAnswer(std::string_view body, std::string_view query,
                               std::string_view requestBody);

} // namespace persimmonlb
