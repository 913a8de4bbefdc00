#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/resultcode.h"
#include "persimmonlb/ctl/exitcode.h"
#include "persimmonlb/http/message.h"

namespace persimmonlb
{

/// One request to the system.
struct ApiRequest {
    std::string method;
    std::string target;
    std::string body;
    HttpHeaders headers;
    /// False: sent once only; it goes to another host only if it surely was not run.
    bool idempotent = true;
    /// True: its outcome matters (a lost answer is OutcomeUnknown, not NoHost).
    bool changesState = false;

    bool operator==(const ApiRequest &) const = default;
};

/// What a refusal's body says.
struct Refusal {
    std::uint16_t code = 0;
    std::string name;
    std::string message;
    RunState run = RunState::Unknown;
    std::vector<std::string> hosts; ///< Hosts to ask instead.

    bool operator==(const Refusal &) const = default;
};

/// How one attempt at one host ended.
struct Attempt {
    enum class Reach : std::uint8_t {
        NotSent, ///< No connection: no byte left.
        NoAnswer, ///< Sent, but no whole answer came.
        Answered,
    };
    Reach reach = Reach::NotSent;
    std::uint16_t status = 0;
    std::string body;
    std::optional<Refusal> refusal; ///< Set for an answer that is no success.
    std::string message; ///< Why it was not sent or not answered.

    bool operator==(const Attempt &) const = default;
};

enum class NextStep : std::uint8_t { Finish, TryNextHost };

/// Whether to ask another host after `attempt`.
NextStep nextStep(const ApiRequest &request, const Attempt &attempt);

/// How a request ended after all attempts.
struct ApiAnswer {
    ExitCode exit = ExitCode::NoHost;
    std::uint16_t status = 0;
    std::string body;
    std::optional<Refusal> refusal;
    std::string message; ///< Of the last attempt without an answer.

    [[nodiscard]] bool ok() const
    {
        return exit == ExitCode::Ok;
    }
    bool operator==(const ApiAnswer &) const = default;
};

/// Sends a request to one "ip:port".
using SendAttempt = std::function<Attempt(const std::string &host, const ApiRequest &request)>;

/// Sends a request to the hosts in turn until one settles it. Each host is asked once.
///
/// Example:
///   const ApiAnswer answer = callWithFailover(hosts, request, send);
///   if (!answer.ok()) { printRefusal(answer); }
ApiAnswer callWithFailover(const std::vector<std::string> &hosts, const ApiRequest &request,
                           const SendAttempt &send);

} // namespace persimmonlb
