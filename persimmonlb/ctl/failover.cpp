#include "persimmonlb/ctl/failover.h"

#include <algorithm>
#include <set>

namespace persimmonlb
{

namespace
{

bool isOneOf(std::uint16_t code, std::initializer_list<ResultCode> codes)
{
    return std::any_of(codes.begin(), codes.end(),
                       [code](ResultCode one) { return static_cast<std::uint16_t>(one) == code; });
}

/// Refusals that say something of the one host, not of the whole system.
bool concernsOneHost(const Refusal &refusal)
{
    using enum ResultCode;
    return !refusal.hosts.empty()
        || isOneOf(refusal.code, {NotInForce, Draining, PeerUnreachable, NotLeader});
}

/// Refusals whose table row says "unknown" of the request they speak of, while they themselves
/// are definite.
bool isDefinite(const Refusal &refusal)
{
    using enum ResultCode;
    return refusal.run != RunState::Unknown
        || isOneOf(refusal.code, {AlreadyCancelled, JobNotFinished});
}

ApiAnswer settle(const ApiRequest &request, const Attempt &attempt)
{
    ApiAnswer answer{ExitCode::Ok, attempt.status, attempt.body, attempt.refusal, attempt.message};
    if (!attempt.refusal) {
        return answer;
    }
    const bool unknown = request.changesState && !isDefinite(*attempt.refusal);
    answer.exit = unknown ? ExitCode::OutcomeUnknown : ExitCode::Refused;
    return answer;
}

} // namespace

NextStep nextStep(const ApiRequest &request, const Attempt &attempt)
{
    switch (attempt.reach) {
    case Attempt::Reach::NotSent:
        return NextStep::TryNextHost;
    case Attempt::Reach::NoAnswer:
        return request.idempotent ? NextStep::TryNextHost : NextStep::Finish;
    case Attempt::Reach::Answered:
        break;
    }
    const bool elsewhere = attempt.refusal && attempt.refusal->run == RunState::NotRun
        && concernsOneHost(*attempt.refusal);
    return elsewhere ? NextStep::TryNextHost : NextStep::Finish;
}

ApiAnswer callWithFailover(const std::vector<std::string> &hosts, const ApiRequest &request,
                           const SendAttempt &send)
{
    std::deque<std::string> open(hosts.begin(), hosts.end());
    std::set<std::string> asked;
    bool mayHaveRun = false;
    std::optional<Attempt> lastRefused;
    std::string message = "no entry host given";
    while (!open.empty()) {
        const std::string host = open.front();
        open.pop_front();
        if (!asked.insert(host).second) {
            continue;
        }
        const Attempt attempt = send(host, request);
        const bool answered = attempt.reach == Attempt::Reach::Answered;
        mayHaveRun = mayHaveRun || attempt.reach == Attempt::Reach::NoAnswer;
        if (nextStep(request, attempt) == NextStep::Finish && answered) {
            return settle(request, attempt);
        }
        if (!answered) {
            message = host + ": " + attempt.message;
        } else {
            lastRefused = attempt;
            open.insert(open.end(), attempt.refusal->hosts.begin(), attempt.refusal->hosts.end());
        }
        if (nextStep(request, attempt) == NextStep::Finish) {
            break;
        }
    }
    if (mayHaveRun && request.changesState) {
        return {ExitCode::OutcomeUnknown, 0, "", std::nullopt, message};
    }
    if (lastRefused) {
        return settle(request, *lastRefused);
    }
    return {ExitCode::NoHost, 0, "", std::nullopt, message};
}

} // namespace persimmonlb
