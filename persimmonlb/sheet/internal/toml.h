#pragma once

/// The only way in which this component includes toml++.
///
/// The parser of toml++ asserts on some malformed texts (for example "[;"). A sheet is parsed by
/// every member that applies it, so an abort would end the whole group, again after each restart.
/// Here a failed assertion throws std::logic_error instead, which parseSheet() reports as a
/// malformed sheet. TOML_EXCEPTIONS=0 gives this parser symbols of its own, so that the linker
/// cannot exchange it with one that another component compiled with plain assert().

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
