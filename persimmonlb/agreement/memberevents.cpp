#include "persimmonlb/agreement/internal/memberevents.h"

namespace persimmonlb::internal
{

std::vector<MemberEvent> memberEventsBetween(const Configuration &before,
                                             const Configuration &after, std::uint64_t index)
{
    std::vector<MemberEvent> events;
    for (const Member &member : after.members) {
        const Member *known = before.find(member.host);
        if (before.members.empty()) {
            events.push_back({.kind = "initialised", .host = member.host, .index = index});
        } else if (known == nullptr) {
            events.push_back({.kind = "learner_added", .host = member.host, .index = index});
        } else if (member.voter && !known->voter) {
            events.push_back({.kind = "promoted", .host = member.host, .index = index});
        }
    }
    for (const Member &member : before.members) {
        if (after.find(member.host) == nullptr) {
            events.push_back({.kind = "removed", .host = member.host, .index = index});
        }
    }
    return events;
}

} // namespace persimmonlb::internal
