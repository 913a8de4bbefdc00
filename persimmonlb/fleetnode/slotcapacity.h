#pragma once

#include "persimmonlb/base/ids.h"
#include "persimmonlb/routes/routetable.h"
#include "persimmonlb/slots/slotbroker.h"

namespace persimmonlb
{

/// What the routes say of one server of a service; nothing known without routes.
inline SlotCapacity slotCapacity(const RouteTable *routes, const ServiceName &service)
{
    const RoutedService *known = routes == nullptr ? nullptr : routes->findService(service);
    if (known == nullptr) {
        return {};
    }
    return {
        .slots = known->slots, .cacheTokens = known->cacheTokens, .stopsRuns = known->stopsRuns};
}

} // namespace persimmonlb
