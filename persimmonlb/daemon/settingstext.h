#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

#include "persimmonlb/base/error.h"
#include "persimmonlb/base/toml.h"

namespace persimmonlb
{

/// Parses a settings file and hands its table to `read`. Errors: SettingsInvalid, with the line;
/// those of `read`. Include it in source files alone, as base/toml.h.
template <typename Settings, typename Read>
Result<Settings> readSettingsText(std::string_view text, const Read &read)
{
    try {
        const toml::parse_result parsed = toml::parse(text);
        if (!parsed) {
            const toml::parse_error &error = parsed.error();
            return fail(ResultCode::SettingsInvalid,
                        "line " + std::to_string(error.source().begin.line) + ": "
                            + std::string(error.description()));
        }
        return read(parsed.table());
    } catch (const std::logic_error &error) {
        return fail(ResultCode::SettingsInvalid, error.what());
    }
}

} // namespace persimmonlb
