#include "persimmonlb/slots/prefixcache.h"

#include <algorithm>

namespace persimmonlb
{

namespace
{

/// Share of the memory in which a part is likely to be evicted: the server's order of use and the
/// memory that running requests take differ a little from the estimate.
constexpr double uncertainShare = 0.25;

} // namespace

void PrefixCacheEstimate::recordPrompt(const std::vector<PromptPart> &prompt,
                                       std::uint64_t memoryTokens)
{
    // The last part of a prompt is useless without the ones before it, so it is the first to go.
    for (auto part = prompt.rbegin(); part != prompt.rend(); ++part) {
        sentTokens_ += part->tokens;
        const auto known = parts_.find(part->key);
        if (known == parts_.end()) {
            order_.push_front({part->key, part->tokens, sentTokens_});
            parts_.emplace(part->key, order_.begin());
            heldTokens_ += part->tokens;
            continue;
        }
        order_.splice(order_.begin(), order_, known->second);
        order_.front().sentTokens = sentTokens_;
    }
    while (!order_.empty() && (heldTokens_ > memoryTokens || order_.size() > maxParts)) {
        heldTokens_ -= order_.back().tokens;
        parts_.erase(order_.back().key);
        order_.pop_back();
    }
}

double PrefixCacheEstimate::probabilityOf(const Part &part, std::uint64_t memoryTokens) const
{
    // Position in the order of use, by interpolation between the oldest part and now.
    const std::uint64_t oldest = order_.back().sentTokens;
    const auto span = static_cast<double>(std::max<std::uint64_t>(1, sentTokens_ - oldest));
    const double depth = static_cast<double>(sentTokens_ - part.sentTokens) / span
        * static_cast<double>(heldTokens_);
    const auto memory = static_cast<double>(memoryTokens);
    return memory > 0 ? std::clamp((memory - depth) / (uncertainShare * memory), 0.0, 1.0) : 0;
}

double PrefixCacheEstimate::expectedTokens(const std::vector<PromptPart> &prompt,
                                           std::uint64_t memoryTokens) const
{
    double tokens = 0;
    double probability = 1;
    for (const PromptPart &part : prompt) {
        const auto known = parts_.find(part.key);
        if (known == parts_.end()) {
            break;
        }
        probability = std::min(probability, probabilityOf(*known->second, memoryTokens));
        tokens += probability * static_cast<double>(part.tokens);
    }
    return tokens;
}

std::size_t PrefixCacheEstimate::size() const
{
    return parts_.size();
}

} // namespace persimmonlb
