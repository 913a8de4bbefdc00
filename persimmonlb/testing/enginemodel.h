#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "persimmonlb/base/clock.h"

namespace persimmonlb
{

/// Of a prompt: as many bytes count as one token.
inline constexpr std::size_t engineBytesPerToken = 4;

/// Prompt blocks whose KV entries an engine still holds, least recently used first out.
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t capacity);

    /// Evicts blocks beyond the capacity.
    void setCapacity(std::size_t capacity);

    /// Tokens at the start of `prompt` that need no prefill. All of its blocks are held afterwards,
    /// as far as the capacity goes.
    std::uint32_t use(std::string_view prompt);

private:
    bool touch(std::uint64_t block);

    std::size_t capacity_;
    std::list<std::uint64_t> order_; // least recently used last
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks_;
};

struct EngineOptions {
    std::uint32_t slots = 16; ///< Requests that decode at once.
    Microseconds tokenTime{10000}; ///< Decode step with one running request.
    Microseconds prefillPerToken{100};
    std::size_t cacheBlocks = 4096; ///< Prompt blocks that the prefix cache holds.
    Milliseconds loadLag{0}; ///< Age of the load that load() tells.
    /// Memory shared by running requests and cached blocks; 0: the cache holds `cacheBlocks`.
    std::uint64_t memoryTokens = 0;
    std::uint32_t tokensPerStep = 1; ///< Of each running request, for `memoryTokens`.
};

using EngineRequestId = std::uint64_t;

/// One decoded token.
struct EngineToken {
    EngineRequestId request = 0;
    std::uint32_t index = 0;
    bool last = false;

    bool operator==(const EngineToken &) const = default;
};

struct EngineLoad {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;

    bool operator==(const EngineLoad &) const = default;
};

struct EngineCounts {
    std::uint32_t maxRunning = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;

    bool operator==(const EngineCounts &) const = default;
};

/// Continuous batching as an engine does it: requests are admitted in order of arrival, without
/// priorities, up to the number of slots; each step decodes one token of every running request.
/// A step lasts longer the more requests run, and by the prefill of those it admits.
///
/// Holds no clock: the owner waits for the duration of each step. Not thread-safe.
///
/// Example:
///   while (!model.idle()) {
///       wait(model.beginStep());
///       deliver(model.endStep());
///   }
class EngineModel
{
public:
    /// `admitted` is called within beginStep() for each request that starts to run.
    EngineModel(EngineOptions options, std::function<void(EngineRequestId)> admitted);

    /// Queues a request for tokens `firstToken` to `tokens` - 1.
    void submit(EngineRequestId request, std::string prompt, std::uint32_t firstToken,
                std::uint32_t tokens);
    /// Drops a queued or running request. False when there is none.
    bool cancel(EngineRequestId request);

    [[nodiscard]] bool idle() const;
    /// Admits what has a free slot and returns how long the step lasts.
    Microseconds beginStep();
    /// The tokens of the step, in order of admission.
    std::vector<EngineToken> endStep();

    [[nodiscard]] EngineLoad currentLoad() const;
    /// Notes the load at `now`; call after each change.
    void sampleLoad(MonotonicTime now);
    /// The load as it was `loadLag` before `now`.
    EngineLoad load(MonotonicTime now);
    [[nodiscard]] const EngineCounts &counts() const;

private:
    struct Entry {
        EngineRequestId id = 0;
        std::string prompt;
        std::uint32_t next = 0;
        std::uint32_t end = 0;
    };
    struct Sample {
        MonotonicTime at;
        EngineLoad load;
    };

    Microseconds admit();
    /// Leaves the cache the memory that running requests do not need.
    void fitCache();

    EngineOptions options_;
    std::function<void(EngineRequestId)> admitted_;
    PrefixCache cache_;
    std::deque<Entry> waiting_;
    std::vector<Entry> running_;
    std::deque<Sample> samples_;
    EngineLoad reported_;
    EngineCounts counts_;
};

} // namespace persimmonlb
