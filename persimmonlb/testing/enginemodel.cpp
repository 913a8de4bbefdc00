#include "persimmonlb/testing/enginemodel.h"

#include <algorithm>
#include <utility>

#include "persimmonlb/base/digest.h"

namespace persimmonlb
{

namespace
{

constexpr std::uint32_t tokensPerBlock = 16;
constexpr std::size_t bytesPerBlock = engineBytesPerToken * tokensPerBlock;

std::uint32_t tokensOf(std::string_view prompt)
{
    return static_cast<std::uint32_t>((prompt.size() + engineBytesPerToken - 1)
                                      / engineBytesPerToken);
}

} // namespace

PrefixCache::PrefixCache(std::size_t capacity)
    : capacity_(capacity)
{
}

void PrefixCache::setCapacity(std::size_t capacity)
{
    capacity_ = capacity;
    while (blocks_.size() > capacity_) {
        blocks_.erase(order_.back());
        order_.pop_back();
    }
}

std::uint32_t PrefixCache::use(std::string_view prompt)
{
    std::uint32_t cachedBlocks = 0;
    bool leading = true;
    std::uint64_t chain = 0;
    for (std::size_t at = 0; at + bytesPerBlock <= prompt.size(); at += bytesPerBlock) {
        chain = combineHash(chain, stableHash(prompt.substr(at, bytesPerBlock)));
        const bool held = touch(chain);
        leading = leading && held;
        cachedBlocks += leading ? 1 : 0;
    }
    return cachedBlocks * tokensPerBlock;
}

bool PrefixCache::touch(std::uint64_t block)
{
    const auto found = blocks_.find(block);
    if (found != blocks_.end()) {
        order_.splice(order_.begin(), order_, found->second);
        return true;
    }
    if (capacity_ == 0) {
        return false;
    }
    if (blocks_.size() >= capacity_) {
        blocks_.erase(order_.back());
        order_.pop_back();
    }
    order_.push_front(block);
    blocks_.emplace(block, order_.begin());
    return false;
}

EngineModel::EngineModel(EngineOptions options, std::function<void(EngineRequestId)> admitted)
    : options_(options)
    , admitted_(std::move(admitted))
    , cache_(options.cacheBlocks)
{
    options_.slots = std::max(options_.slots, 1U);
}

void EngineModel::submit(EngineRequestId request, std::string prompt, std::uint32_t firstToken,
                         std::uint32_t tokens)
{
    waiting_.push_back(Entry{request, std::move(prompt), firstToken, tokens});
}

bool EngineModel::cancel(EngineRequestId request)
{
    const auto matches = [request](const Entry &entry) {
        return entry.id == request;
    };
    return std::erase_if(waiting_, matches) + std::erase_if(running_, matches) > 0;
}

bool EngineModel::idle() const
{
    return waiting_.empty() && running_.empty();
}

Microseconds EngineModel::beginStep()
{
    const Microseconds prefill = admit();
    const auto others = static_cast<std::int64_t>(running_.size()) - 1;
    const Microseconds growth = options_.tokenTime * std::max<std::int64_t>(others, 0)
        / static_cast<std::int64_t>(options_.slots);
    return options_.tokenTime + growth + prefill;
}

void EngineModel::fitCache()
{
    if (options_.memoryTokens == 0) {
        return;
    }
    std::uint64_t used = 0;
    for (const Entry &entry : running_) {
        used += tokensOf(entry.prompt)
            + static_cast<std::uint64_t>(entry.next) * options_.tokensPerStep;
    }
    const std::uint64_t left = options_.memoryTokens - std::min(options_.memoryTokens, used);
    cache_.setCapacity(left / tokensPerBlock);
}

Microseconds EngineModel::admit()
{
    Microseconds prefill{0};
    while (!waiting_.empty() && running_.size() < options_.slots) {
        running_.push_back(std::move(waiting_.front()));
        waiting_.pop_front();
        const Entry &entry = running_.back();
        fitCache();
        const std::uint32_t prompt = tokensOf(entry.prompt);
        const std::uint32_t cached = std::min(cache_.use(entry.prompt), prompt);
        counts_.promptTokens += prompt;
        counts_.cachedTokens += cached;
        // A resumed request prefills the tokens it had, too.
        prefill += options_.prefillPerToken * (prompt - cached + entry.next);
        admitted_(entry.id);
    }
    counts_.maxRunning = std::max(counts_.maxRunning, static_cast<std::uint32_t>(running_.size()));
    return prefill;
}

std::vector<EngineToken> EngineModel::endStep()
{
    std::vector<EngineToken> tokens;
    for (Entry &entry : running_) {
        const std::uint32_t index = entry.next++;
        tokens.push_back(EngineToken{entry.id, index, entry.next >= entry.end});
    }
    std::erase_if(running_, [](const Entry &entry) { return entry.next >= entry.end; });
    return tokens;
}

EngineLoad EngineModel::currentLoad() const
{
    return {static_cast<std::uint32_t>(running_.size()),
            static_cast<std::uint32_t>(waiting_.size())};
}

void EngineModel::sampleLoad(MonotonicTime now)
{
    samples_.push_back(Sample{now, currentLoad()});
}

EngineLoad EngineModel::load(MonotonicTime now)
{
    while (!samples_.empty() && samples_.front().at + options_.loadLag <= now) {
        reported_ = samples_.front().load;
        samples_.pop_front();
    }
    return reported_;
}

const EngineCounts &EngineModel::counts() const
{
    return counts_;
}

} // namespace persimmonlb
