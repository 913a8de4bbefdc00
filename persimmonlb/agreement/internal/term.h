#pragma once

#include <cstdint>

namespace persimmonlb::internal
{

/// A term holds the lineage of its group in the upper 32 bits and a counter in the lower ones. The
/// lineage is a hash of the group's first entry. Members of different lineages ignore each other,
/// so that two groups that were started separately with some of the same hosts never mix their
/// logs.
constexpr unsigned counterBits = 32;
constexpr std::uint64_t counterMask = 0xffffffffULL;

/// Counter of the first entry; a leader has been elected only from the next one on.
constexpr std::uint64_t firstCounter = 1;

constexpr std::uint64_t lineageOf(std::uint64_t term)
{
    return term >> counterBits;
}

constexpr std::uint64_t counterOf(std::uint64_t term)
{
    return term & counterMask;
}

/// The first term of the group whose first entry hashes to `hash`.
constexpr std::uint64_t firstTerm(std::uint64_t hash)
{
    const std::uint64_t lineage = hash & counterMask;
    return ((lineage == 0 ? 1 : lineage) << counterBits) | firstCounter;
}

/// False when both terms are known and belong to different groups.
constexpr bool sameLineage(std::uint64_t left, std::uint64_t right)
{
    return left == 0 || right == 0 || lineageOf(left) == lineageOf(right);
}

} // namespace persimmonlb::internal
