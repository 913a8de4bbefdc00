#pragma once

#include <string_view>

namespace persimmonlb
{

/// True when `bytes` is exactly one well-formed CBOR item of bounded depth, without tags and
/// without items of indefinite length.
///
/// Recursive decoders may be run on such bytes: neither their stack nor the sizes that the bytes
/// declare can grow beyond the input. Allocates nothing and does not recurse. Thread-safe.
bool isBoundedCbor(std::string_view bytes);

} // namespace persimmonlb
