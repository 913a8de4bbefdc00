#pragma once

#include <functional>
#include <string>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/ctl/failover.h"

namespace persimmonlb
{

struct HttpCallOptions {
    Milliseconds connectTimeout{2000};
    /// Until the answer's next bytes; bounds a whole answer that is not streamed.
    Milliseconds timeout{30000};
    /// Gets the pieces of a successful answer as they come; empty: the body is collected.
    std::function<void(const std::string &piece)> chunk;
};

/// Sends one request over a new connection and waits for its answer. Never resends.
Attempt httpCall(const std::string &host, const ApiRequest &request,
                 const HttpCallOptions &options);

} // namespace persimmonlb
