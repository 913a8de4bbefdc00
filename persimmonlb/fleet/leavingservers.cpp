#include "persimmonlb/fleet/leavingservers.h"

namespace persimmonlb
{

LeavingServers::LeavingServers(std::size_t mostKept)
    : mostKept_(mostKept)
{
}

bool LeavingServers::note(const ServerId &server, std::uint64_t bornMs)
{
    if (!starts_.emplace(server, bornMs).second) {
        return false;
    }
    order_.emplace_back(server, bornMs);
    if (order_.size() > mostKept_) {
        starts_.erase(order_.front());
        order_.pop_front();
    }
    return true;
}

bool LeavingServers::contains(const ServerId &server, std::uint64_t bornMs) const
{
    return starts_.contains(Start(server, bornMs));
}

} // namespace persimmonlb
