#pragma once

#include <cstdint>
#include <vector>

#include "persimmonlb/agreement/agreement.h"
#include "persimmonlb/agreement/configuration.h"

namespace persimmonlb::internal
{

/// What changed from one committed member list to the next, for the audit trail.
std::vector<MemberEvent> memberEventsBetween(const Configuration &before,
                                             const Configuration &after, std::uint64_t index);

} // namespace persimmonlb::internal
