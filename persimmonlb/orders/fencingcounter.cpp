#include "persimmonlb/orders/fencingcounter.h"

#include <algorithm>

#include "persimmonlb/state/keys.h"

namespace persimmonlb
{

namespace
{

constexpr std::uint32_t maxReservation = 10'000;

} // namespace

FencingCounter::FencingCounter(StateStore store)
    : store_(std::move(store))
{
}

FencingReply FencingCounter::reserve(const ReserveFencing &command, MutationList &changes)
{
    const FencingReply reply{.first = next_};
    next_ += std::clamp(command.count, 1U, maxReservation);
    changes.push_back({keys::counter("fencing"), keys::number(next_)});
    return reply;
}

Result<void> FencingCounter::reload()
{
    const auto next = store_.get(keys::counter("fencing"));
    next_ = next ? keys::parseNumber(*next).value_or(1) : 1;
    return {};
}

} // namespace persimmonlb
