#include "persimmonlb/state/fleettable.h"

#include <utility>
#include <variant>

#include "persimmonlb/state/keys.h"

namespace persimmonlb
{

FleetTable::FleetTable(StateStore store)
    : store_(std::move(store))
{
}

bool FleetTable::put(const PutRoutes &command, MutationList &changes)
{
    if (command.version <= routes_.version) {
        return false;
    }
    routes_ = RoutesAnswer{.version = command.version, .text = command.text};
    changes.push_back({std::string(keys::routes), encodeAnswer(routes_)});
    return true;
}

bool FleetTable::retire(const RetireStore &command, MutationList &changes)
{
    if (!retired_.insert(command.name).second) {
        return false;
    }
    changes.push_back({keys::retired(command.name), ""});
    return true;
}

void FleetTable::save(const SaveFleet &command, MutationList &changes)
{
    changes.push_back({std::string(keys::fleet), command.view});
}

const RoutesAnswer &FleetTable::routes() const
{
    return routes_;
}

const std::set<std::string> &FleetTable::retired() const
{
    return retired_;
}

std::string FleetTable::saved() const
{
    return store_.get(keys::fleet).value_or(std::string());
}

Result<void> FleetTable::reload()
{
    retired_.clear();
    store_.scan(keys::retiredPrefix, [this](std::string_view key, std::string_view) {
        retired_.emplace(key.substr(keys::retiredPrefix.size()));
        return true;
    });
    routes_ = {};
    const auto stored = store_.get(keys::routes);
    if (!stored) {
        return {};
    }
    const auto decoded = decodeAnswer(*stored);
    if (!decoded.ok() || !std::holds_alternative<RoutesAnswer>(decoded.value())) {
        return fail(ResultCode::CorruptStore, "key " + std::string(keys::routes));
    }
    routes_ = std::get<RoutesAnswer>(decoded.value());
    return {};
}

} // namespace persimmonlb
