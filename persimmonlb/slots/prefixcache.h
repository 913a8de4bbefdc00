#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "persimmonlb/fleet/fleetview.h"

namespace persimmonlb
{

/// Estimates which prompt parts a server still holds in its prefix cache, from the prompts that
/// were sent there.
///
/// The server is assumed to evict the least recently used parts when running requests and cached
/// parts exceed its memory. Not thread-safe.
///
/// Example:
///   cache.recordPrompt(request.prompt, memoryLeft);
///   double cached = cache.expectedTokens(other.prompt, memoryLeft);
class PrefixCacheEstimate
{
public:
    /// Bounds the broker's memory, as a server with unlimited memory never evicts.
    static constexpr std::size_t maxParts = 1024;

    /// Records that a prompt was sent. `memoryTokens`: what running requests leave of the server's
    /// memory; parts beyond it are forgotten.
    void recordPrompt(const std::vector<PromptPart> &prompt, std::uint64_t memoryTokens);
    /// Returns the expected number of tokens at the start of the prompt that need no prefill.
    [[nodiscard]] double expectedTokens(const std::vector<PromptPart> &prompt,
                                        std::uint64_t memoryTokens) const;
    [[nodiscard]] std::size_t size() const;

private:
    struct Part {
        std::uint64_t key = 0;
        std::uint64_t tokens = 0;
        /// Tokens of all prompts sent up to the last use.
        std::uint64_t sentTokens = 0;
    };

    /// Returns the probability that the server holds the part.
    [[nodiscard]] double probabilityOf(const Part &part, std::uint64_t memoryTokens) const;

    std::list<Part> order_; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<Part>::iterator> parts_;
    std::uint64_t heldTokens_ = 0;
    std::uint64_t sentTokens_ = 0;
};

} // namespace persimmonlb
