#include "persimmonlb/http/callermemory.h"

#include <memory>
#include <utility>

namespace persimmonlb
{

namespace
{

/// Header and rounding of a small block of the C library's allocator.
constexpr std::uint64_t allocationBytes = 16;

/// The part of a connection's use that dropping it for this reason counts against it.
std::uint64_t partOf(const CallerUse &use, CallerDrop why)
{
    return why == CallerDrop::Request ? use.unfinished : use.unread;
}

} // namespace

std::uint64_t heapBytes(const std::string &text)
{
    static const std::size_t ownCapacity = std::string().capacity();
    return text.capacity() > ownCapacity ? text.capacity() + 1 + allocationBytes : 0;
}

std::uint64_t fieldArrayBytes(const HttpHeaders &headers)
{
    return headers.fields.capacity() * sizeof(HttpHeader);
}

std::uint64_t CallerUse::total() const
{
    return unfinished + passedOn + unread;
}

CallerMemory::CallerMemory(CallerMemoryOptions options)
    : options_(std::move(options))
{
}

CallerMemory::Holder CallerMemory::add(DropHook drop)
{
    const Holder holder = next_++;
    entries_.emplace(holder, Entry{CallerUse{}, std::move(drop)});
    return holder;
}

void CallerMemory::set(Holder holder, const CallerUse &use)
{
    const auto found = entries_.find(holder);
    if (found == entries_.end()) {
        return;
    }
    CallerUse &known = found->second.use;
    sum_.unfinished += use.unfinished - known.unfinished;
    sum_.passedOn += use.passedOn - known.passedOn;
    sum_.unread += use.unread - known.unread;
    known = use;
}

void CallerMemory::remove(Holder holder)
{
    set(holder, {});
    entries_.erase(holder);
}

void CallerMemory::relieve()
{
    if (isRelieving_ || options_.maxBytes == 0) {
        return;
    }
    isRelieving_ = true;
    // Also when a hook throws, or nothing would be dropped any more.
    const std::shared_ptr<void> end(nullptr, [this](void *) { isRelieving_ = false; });
    while (totalBytes() > options_.maxBytes) {
        const std::optional<Victim> victim = nextVictim();
        if (!victim) {
            break;
        }
        // The hook may remove its own entry. What it counts from now on is small: the refusal.
        const DropHook drop = std::exchange(entries_.at(victim->holder).drop, nullptr);
        set(victim->holder, {});
        if (options_.dropped) {
            options_.dropped(victim->why, victim->bytes);
        }
        drop(victim->why);
    }
}

std::uint64_t CallerMemory::totalBytes() const
{
    return sum_.total();
}

std::optional<CallerMemory::Victim> CallerMemory::largest(CallerDrop why) const
{
    std::optional<Victim> found;
    for (const auto &[holder, entry] : entries_) {
        const std::uint64_t bytes = partOf(entry.use, why);
        if (entry.drop && bytes > 0 && (!found || bytes > found->bytes)) {
            found = Victim{holder, why, bytes};
        }
    }
    return found;
}

std::optional<CallerMemory::Victim> CallerMemory::nextVictim() const
{
    const bool readersFirst = sum_.unread > options_.maxBytes / 2;
    const CallerDrop first = readersFirst ? CallerDrop::Reader : CallerDrop::Request;
    const CallerDrop second = readersFirst ? CallerDrop::Request : CallerDrop::Reader;
    const std::optional<Victim> victim = largest(first);
    return victim ? victim : largest(second);
}

} // namespace persimmonlb
