#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "persimmonlb/http/message.h"

namespace persimmonlb
{

/// Bytes that a string takes beside its own object, with what the allocator adds.
std::uint64_t heapBytes(const std::string &text);
/// Bytes that the allocated fields of a header section take, without the heap of their strings.
std::uint64_t fieldArrayBytes(const HttpHeaders &headers);

/// What one connection holds for its caller, in bytes as allocated.
struct CallerUse {
    std::uint64_t unfinished = 0; ///< Of a request that is not complete.
    std::uint64_t passedOn = 0; ///< Of a request that is with its handler.
    std::uint64_t unread = 0; ///< Of answers that the caller has not taken.

    [[nodiscard]] std::uint64_t total() const;
    bool operator==(const CallerUse &) const = default;
};

enum class CallerDrop : std::uint8_t {
    Request, ///< The request is incomplete and was never passed on: it can be refused.
    Reader, ///< The answer is not read fast enough: the connection can only be closed.
};

struct CallerMemoryOptions {
    std::uint64_t maxBytes = 0; ///< 0: no bound.
    /// Called for each connection that is dropped, before it is, with what it held.
    std::function<void(CallerDrop, std::uint64_t bytes)> dropped;
};

/// The account of the memory that callers of all HTTP servers of a host take. Beyond its bound it
/// drops connections: the largest reader while answers take more than half of the bound, otherwise
/// the connection that holds most of an incomplete request. Requests that were passed on are
/// counted and never dropped: a new request is refused instead.
///
/// Example:
///   const auto holder = memory.add([&](CallerDrop why) { refuseOrClose(why); });
///   memory.set(holder, {.unfinished = 4096, .passedOn = 0, .unread = 0});
///   memory.relieve(); // May have called the hook of this holder or of another one.
///   memory.remove(holder);
/// Used on the decision thread.
class CallerMemory
{
public:
    using Holder = std::uint64_t;
    using DropHook = std::function<void(CallerDrop)>;

    explicit CallerMemory(CallerMemoryOptions options);

    /// `drop` refuses the request or closes the connection. It is called by relieve() alone, and
    /// may call any method; relieve() then does nothing.
    Holder add(DropHook drop);
    /// No hook is called.
    void set(Holder holder, const CallerUse &use);
    void remove(Holder holder);
    /// Drops connections until the total is within the bound or none is left that can be dropped.
    void relieve();

    [[nodiscard]] std::uint64_t totalBytes() const;

private:
    struct Entry {
        CallerUse use;
        DropHook drop;
    };
    struct Victim {
        Holder holder = 0;
        CallerDrop why = CallerDrop::Request;
        std::uint64_t bytes = 0;
    };

    [[nodiscard]] std::optional<Victim> largest(CallerDrop why) const;
    [[nodiscard]] std::optional<Victim> nextVictim() const;

    CallerMemoryOptions options_;
    std::map<Holder, Entry> entries_;
    CallerUse sum_;
    Holder next_ = 1;
    bool isRelieving_ = false;
};

} // namespace persimmonlb
