#pragma once

#include <cstdint>
#include <string>

#include "persimmonlb/base/resultcode.h"

namespace persimmonlb::internal
{

/// JSON error body of an item that ended without an answer of a server. `lastStatus` is 0 when the
/// last attempt got no answer.
std::string failureBody(ResultCode code, std::uint32_t attempts, std::uint16_t lastStatus);

} // namespace persimmonlb::internal
