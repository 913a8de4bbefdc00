#pragma once

#include <cstdint>
#include <memory>

#include "persimmonlb/base/metrics.h"
#include "persimmonlb/http/callermemory.h"

namespace persimmonlb
{

/// An account that logs and counts each connection that it drops. `metrics` outlives it.
std::shared_ptr<CallerMemory> makeReportedCallerMemory(std::uint64_t maxBytes, Metrics &metrics);

/// Sets the gauge of the memory that callers take.
void reportCallerMemory(const CallerMemory &memory, Metrics &metrics);

} // namespace persimmonlb
