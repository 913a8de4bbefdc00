#include "persimmonlb/serving/onceonlyclaim.h"

#include <utility>

namespace persimmonlb
{

namespace
{

constexpr std::uint32_t mostTries = 100;
constexpr Milliseconds retryInterval{200};

} // namespace

OnceOnlyClaim::OnceOnlyClaim(ClaimRequest request, Milliseconds pollInterval, Clock clock,
                             OnceOnlyClaimHooks hooks)
    : request_(std::move(request))
    , pollInterval_(pollInterval)
    , clock_(std::move(clock))
    , hooks_(std::move(hooks))
{
}

void OnceOnlyClaim::ask(MonotonicTime deadline, Asked asked)
{
    deadline_ = deadline;
    asked_ = std::move(asked);
    propose();
}

void OnceOnlyClaim::propose()
{
    hooks_.propose(request_, [self = shared_from_this()](const Outcome<Reply> &reply) {
        self->takeReply(reply);
    });
}

void OnceOnlyClaim::takeReply(const Outcome<Reply> &reply)
{
    if (!reply.ok()) {
        resolve(mostTries);
        end(reply.error());
        return;
    }
    const ClaimReply *claim = std::get_if<ClaimReply>(&reply.value());
    if (claim == nullptr) {
        end(makeError(ResultCode::Internal, "unexpected reply to a claim"));
        return;
    }
    if (claim->state == ClaimState::Granted) {
        granted_ = true;
        if (abandoned_) {
            close(ClaimState::NotSent, {}, {});
            return;
        }
        end(*claim);
        return;
    }
    const bool mayWait = claim->state == ClaimState::Running || claim->state == ClaimState::NotSent;
    if (abandoned_ || !mayWait || clock_.monotonic() + pollInterval_ >= deadline_) {
        end(*claim);
        return;
    }
    hooks_.after(pollInterval_, [self = shared_from_this()] {
        if (!self->abandoned_) {
            self->propose();
        }
    });
}

void OnceOnlyClaim::end(Outcome<ClaimReply> outcome)
{
    const Asked asked = std::exchange(asked_, nullptr);
    if (asked && !abandoned_) {
        asked(std::move(outcome));
    }
}

void OnceOnlyClaim::abandon()
{
    abandoned_ = true;
}

void OnceOnlyClaim::resolve(std::uint32_t triesLeft)
{
    if (triesLeft == 0) {
        return;
    }
    hooks_.after(retryInterval, [self = shared_from_this(), triesLeft] {
        self->hooks_.propose(self->request_, [self, triesLeft](const Outcome<Reply> &reply) {
            if (!reply.ok()) {
                self->resolve(triesLeft - 1);
                return;
            }
            const ClaimReply *claim = std::get_if<ClaimReply>(&reply.value());
            if (claim != nullptr && claim->state == ClaimState::Granted) {
                self->granted_ = true;
                self->close(ClaimState::NotSent, {}, {});
            }
        });
    });
}

bool OnceOnlyClaim::close(ClaimState state, RecordedAnswer answer, std::function<void()> recorded)
{
    if (!granted_ || std::exchange(closed_, true)) {
        return false;
    }
    record(RecordOutcome{.key = request_.key,
                         .owner = request_.owner,
                         .requestId = request_.requestId,
                         .state = state,
                         .answer = std::move(answer),
                         .at = clock_.wall()},
           std::move(recorded), mostTries);
    return true;
}

void OnceOnlyClaim::record(const RecordOutcome &outcome, std::function<void()> recorded,
                           std::uint32_t triesLeft)
{
    if (triesLeft == 0) {
        if (recorded) {
            recorded();
        }
        return;
    }
    hooks_.propose(outcome,
                   [self = shared_from_this(), outcome, recorded = std::move(recorded),
                    triesLeft](const Outcome<Reply> &reply) {
                       if (reply.ok()) {
                           if (recorded) {
                               recorded();
                           }
                           return;
                       }
                       self->hooks_.after(retryInterval, [self, outcome, recorded, triesLeft] {
                           self->record(outcome, recorded, triesLeft - 1);
                       });
                   });
}

bool OnceOnlyClaim::granted() const
{
    return granted_;
}

} // namespace persimmonlb
