#pragma once

#include <functional>
#include <memory>
#include <stdexcept>
#include <utility>

#include "persimmonlb/bulk/bulktable.h"
#include "persimmonlb/routes/routetable.h"
#include "persimmonlb/store/memorystore.h"

namespace persimmonlb::testing
{

/// Holds bulk jobs in memory and applies commands at once, in place of the replicated state.
class FakeBulkState
{
public:
    [[nodiscard]] const BulkTable &table() const
    {
        return table_;
    }
    void apply(const Command &command)
    {
        MutationList changes;
        if (const auto *accepted = std::get_if<AcceptBulk>(&command)) {
            table_.accept(*accepted, changes);
        } else if (const auto *recorded = std::get_if<RecordBulk>(&command)) {
            table_.record(*recorded, changes);
        } else if (const auto *ended = std::get_if<EndBulk>(&command)) {
            table_.end(*ended, changes);
        } else if (const auto *saved = std::get_if<SaveBulkProgress>(&command)) {
            table_.saveProgress(*saved, changes);
        }
        if (!capture([&] { return memory_.stateStore().write(changes); }).ok()) {
            throw std::logic_error("the in-memory store refused a write");
        }
    }

private:
    MemoryStore memory_{1, [](const std::function<void()> &fn) {
                            fn();
                        }};
    BulkTable table_{memory_.stateStore()};
};

/// Returns a table with one batch route, "r" of the host a.example, to the service `name`.
inline std::shared_ptr<const RouteTable> batchRoutes(const ServiceName &name)
{
    Route route;
    route.name = "r";
    route.host = "a.example";
    route.pathPrefix = "/";
    route.kind = RouteKind::Batch;
    route.services = {{name, 1}};
    RoutedService service;
    service.name = name;
    auto made = capture([&] { return RouteTable::make(1, {route}, {service}, {}); });
    if (!made.ok()) {
        throw std::logic_error(made.error().message);
    }
    return std::make_shared<const RouteTable>(std::move(made.value()));
}

} // namespace persimmonlb::testing
