#include "persimmonlb/http/reportedcallermemory.h"

#include "persimmonlb/base/logline.h"

namespace persimmonlb
{

std::shared_ptr<CallerMemory> makeReportedCallerMemory(std::uint64_t maxBytes, Metrics &metrics)
{
    return std::make_shared<CallerMemory>(CallerMemoryOptions{
        .maxBytes = maxBytes, .dropped = [maxBytes, &metrics](CallerDrop why, std::uint64_t bytes) {
            const char *name = why == CallerDrop::Request ? "request" : "reader";
            metrics.count("persimmonlb_memory_drops_total", {{"what", name}});
            LogLine(LogLevel::Warning, "caller_dropped_for_memory")
                .add("what", name)
                .add("bytes", static_cast<std::int64_t>(bytes))
                .add("bound", static_cast<std::int64_t>(maxBytes))
                .write();
        }});
}

void reportCallerMemory(const CallerMemory &memory, Metrics &metrics)
{
    metrics.set("persimmonlb_caller_memory_bytes", {}, static_cast<double>(memory.totalBytes()));
}

} // namespace persimmonlb
