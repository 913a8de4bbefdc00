#pragma once

#include <cstdint>
#include <string>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/testing/experiment.h"

namespace persimmonlb
{

/// A chat request and what its answer must be.
struct ChatCall {
    std::string body;
    std::uint64_t answerKey = 0;
    std::uint32_t tokens = 0;

    bool operator==(const ChatCall &) const = default;
};

/// Draws a chat request. Requests of one prefix group start with the same bytes.
ChatCall makeChatCall(const std::string &service, const ChatShape &shape, bool stream,
                      const RandomSource &random);

/// Line of a batch job for a chat request.
std::string makeBatchLine(std::uint32_t index, const ChatCall &call);

} // namespace persimmonlb
