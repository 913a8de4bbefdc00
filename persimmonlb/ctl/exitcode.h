#pragma once

#include <cstdint>

namespace persimmonlb
{

/// Exit status of persimmonlbctl (docs/CTL.md).
enum class ExitCode : std::uint8_t {
    Ok = 0,
    Refused = 1, ///< The system refused; its code was printed.
    Usage = 2, ///< Wrong arguments, or a file that cannot be read or does not check.
    NoHost = 3, ///< No entry host was reachable; nothing was changed.
    OutcomeUnknown = 4, ///< The change may or may not have taken effect.
};

} // namespace persimmonlb
