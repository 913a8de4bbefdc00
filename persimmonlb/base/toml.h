#pragma once

/// The only way in which this project includes toml++; include it in source files alone.
///
/// The parser of toml++ asserts on some malformed texts (for example "[;"). A sheet is parsed by
/// every member that applies it, so an abort would end the whole group, again after each restart.
/// Here a failed assertion throws std::logic_error instead; catch it around toml::parse() and
/// report malformed text. Every source file must see the same configuration of toml++, because its
/// inline functions share names.

#ifdef NDEBUG
#error "toml++ turns its assertions into undefined behaviour under NDEBUG"
#endif

#include <stdexcept>

namespace persimmonlb::internal
{
[[noreturn]] inline void throwTomlAssertion()
{
    throw std::logic_error("the text is not valid TOML");
}
} // namespace persimmonlb::internal

#define TOML_EXCEPTIONS 0
#define TOML_ASSERT(expr)                                                                          \
    (static_cast<bool>(expr) ? void() : ::persimmonlb::internal::throwTomlAssertion())

#include <toml++/toml.h>
