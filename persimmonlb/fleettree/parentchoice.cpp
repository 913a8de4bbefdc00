#include "persimmonlb/fleettree/parentchoice.h"

#include <algorithm>
#include <functional>
#include <string>
#include <tuple>
#include <utility>

#include "persimmonlb/base/logline.h"

namespace persimmonlb
{

ParentChoice::ParentChoice(ParentChoiceOptions options, HostId self, Clock clock)
    : options_(options)
    , self_(std::move(self))
    , clock_(std::move(clock))
{
}

bool ParentChoice::setCandidates(std::vector<ParentCandidate> candidates)
{
    if (candidates != givenCandidates_) {
        givenCandidates_ = candidates;
        std::erase_if(candidates,
                      [this](const ParentCandidate &known) { return known.host == self_; });
        const auto rank = [this](const ParentCandidate &candidate) {
            const std::size_t weight
                = std::hash<std::string>()(self_.value + '/' + candidate.host.value);
            return std::tuple(candidate.tier, weight, candidate.host);
        };
        std::ranges::sort(candidates, {}, rank);
        candidates_ = std::move(candidates);
    }
    const auto isParent = [this](const ParentCandidate &known) {
        return known.host == parent_;
    };
    const auto found = std::ranges::find_if(candidates_, isParent);
    if (found == candidates_.end()) {
        return (!parent_.empty() || !candidates_.empty()) && choose();
    }
    // One of a better tier is not waited for: the tier says what a host is, such as the leader.
    const bool worseTier
        = found->tier > candidates_.front().tier && !isResting(candidates_.front().host);
    const bool isKept = found->isKeptWhileProven && isProven_;
    return worseTier && !isKept && choose();
}

bool ParentChoice::isResting(const HostId &host) const
{
    const auto found = restsUntil_.find(host);
    return triedInVain_.contains(host)
        || (found != restsUntil_.end() && clock_.monotonic() < found->second);
}

std::uint32_t ParentChoice::turnsOf(std::uint32_t tier) const
{
    const auto found = vainTrialsByTier_.find(tier);
    const std::uint32_t trials = found == vainTrialsByTier_.end() ? 0 : found->second;
    return tier == candidates_.front().tier ? trials / options_.trialsOfTier : trials;
}

HostId ParentChoice::best() const
{
    const ParentCandidate *best = nullptr;
    for (const ParentCandidate &candidate : candidates_) {
        if (isResting(candidate.host)) {
            continue;
        }
        if (best == nullptr || turnsOf(candidate.tier) < turnsOf(best->tier)) {
            best = &candidate;
        }
    }
    return best == nullptr ? HostId() : best->host;
}

Milliseconds ParentChoice::trialTime() const
{
    if (vainTrials_ < options_.quickTrials) {
        return options_.proofTime;
    }
    Milliseconds time = options_.staleness;
    for (std::uint32_t trial = options_.quickTrials;
         trial < vainTrials_ && time < options_.longestTrial; ++trial) {
        time *= 2;
    }
    return std::min(time, options_.longestTrial);
}

bool ParentChoice::choose()
{
    const MonotonicTime now = clock_.monotonic();
    std::erase_if(restsUntil_, [now](const auto &entry) { return entry.second <= now; });
    HostId next = best();
    if (next.empty() && !candidates_.empty()) {
        // All were tried in vain: from the front again.
        restsUntil_.clear();
        triedInVain_.clear();
        vainTrialsByTier_.clear();
        next = candidates_.front().host;
    }
    if (next == parent_) {
        return false;
    }
    parent_ = next;
    beginTrial();
    if (parent_.empty()) {
        LogLine(LogLevel::Warning, "parent_missing").add("host", self_.value).write();
    } else {
        LogLine(LogLevel::Info, "parent_chosen")
            .add("parent", parent_.value)
            .add("candidates", static_cast<std::int64_t>(candidates_.size()))
            .add("resting", static_cast<std::int64_t>(restsUntil_.size()))
            .add("vain_trials", static_cast<std::int64_t>(vainTrials_))
            .write();
    }
    return true;
}

void ParentChoice::leave()
{
    restsUntil_[parent_] = clock_.monotonic() + options_.rest;
    if (isProven_) {
        return;
    }
    ++vainTrials_;
    triedInVain_.insert(parent_);
    const auto candidate = std::ranges::find(candidates_, parent_, &ParentCandidate::host);
    if (candidate != candidates_.end()) {
        ++vainTrialsByTier_[candidate->tier];
    }
}

void ParentChoice::heard(const HostId &host, Milliseconds age)
{
    if (host != parent_) {
        return;
    }
    heardAt_ = clock_.monotonic();
    hasAnswered_ = true;
    if (age <= options_.staleness) {
        leaderHeardAt_ = isProven_ ? std::max(leaderHeardAt_, heardAt_ - age) : heardAt_ - age;
        isProven_ = true;
        vainTrials_ = 0;
        triedInVain_.clear();
        vainTrialsByTier_.clear();
    }
}

void ParentChoice::lost(const HostId &host)
{
    if (host == parent_) {
        leave();
        choose();
    }
}

void ParentChoice::giveNewTrial(const HostId &host)
{
    restsUntil_.erase(host);
    triedInVain_.erase(host);
    if (host == parent_ && !isProven_) {
        beginTrial();
    }
}

void ParentChoice::beginTrial()
{
    chosenAt_ = clock_.monotonic();
    heardAt_ = chosenAt_;
    hasAnswered_ = false;
    isProven_ = false;
    trialEndsAt_ = chosenAt_ + trialTime();
}

bool ParentChoice::tick()
{
    const MonotonicTime now = clock_.monotonic();
    if (parent_.empty()) {
        return choose();
    }
    if (hasFailed()) {
        leave();
        return choose();
    }
    if (parent_ != candidates_.front().host && now - chosenAt_ > options_.returnAfter) {
        chosenAt_ = now;
        return choose();
    }
    return false;
}

bool ParentChoice::hasFailed() const
{
    const MonotonicTime now = clock_.monotonic();
    if (isProven_) {
        return now - heardAt_ > options_.silence || now - leaderHeardAt_ > options_.staleness;
    }
    // One that does not answer at all is not worth a long trial.
    return now > trialEndsAt_ || (!hasAnswered_ && now - chosenAt_ > options_.silence);
}

const HostId &ParentChoice::parent() const
{
    return parent_;
}

} // namespace persimmonlb
