#pragma once

#include <string>
#include <string_view>

namespace persimmonlb
{

struct SheetCheck {
    bool ok = false;
    std::string message; ///< A summary, or what is wrong with line and key.

    bool operator==(const SheetCheck &) const = default;
};

/// Checks a sheet as the system does, without asking it.
SheetCheck checkSheet(std::string_view text);

} // namespace persimmonlb
