#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"
#include "persimmonlb/state/command.h"

namespace persimmonlb
{

struct OnceOnlyClaimHooks {
    std::function<void(const Command &, std::function<void(Outcome<Reply>)>)> propose;
    std::function<void(Milliseconds, std::function<void()>)> after;
};

/// The claim of one request that is not idempotent: asked for before its first byte is sent, and
/// closed with its outcome.
///
/// An outcome, once given, is proposed until the log has it. A claim whose proposal failed may be
/// in the log all the same, so it is asked for again until it is known, and closed as not sent. Not
/// thread-safe; keeps itself alive while it works.
class OnceOnlyClaim : public std::enable_shared_from_this<OnceOnlyClaim>
{
public:
    /// What became of the claim: granted to this request, or what is known of an earlier one.
    using Asked = std::function<void(Outcome<ClaimReply>)>;

    OnceOnlyClaim(ClaimRequest request, Milliseconds pollInterval, Clock clock,
                  OnceOnlyClaimHooks hooks);

    /// Asks until the claim is granted or its earlier outcome is known. `asked` gets Running only
    /// when the deadline comes while an earlier request still runs, and an error when the log
    /// cannot be reached.
    void ask(MonotonicTime deadline, Asked asked);
    /// Gives up asking: `asked` is not called any more, and a claim that is granted later is closed
    /// as not sent.
    void abandon();
    /// Closes a granted claim; only the first call counts, the others return false. `recorded` is
    /// called once the log has the outcome, or cannot be reached for long.
    bool close(ClaimState state, RecordedAnswer answer, std::function<void()> recorded);

    [[nodiscard]] bool granted() const;

private:
    void propose();
    void takeReply(const Outcome<Reply> &reply);
    void end(Outcome<ClaimReply> outcome);
    void resolve(std::uint32_t triesLeft);
    void record(const RecordOutcome &outcome, std::function<void()> recorded,
                std::uint32_t triesLeft);

    ClaimRequest request_;
    Milliseconds pollInterval_;
    Clock clock_;
    OnceOnlyClaimHooks hooks_;
    MonotonicTime deadline_;
    Asked asked_;
    bool abandoned_ = false;
    bool granted_ = false;
    bool closed_ = false;
};

} // namespace persimmonlb
