#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "persimmonlb/base/error.h"
#include "persimmonlb/fleetnode/engineinspector.h"
#include "persimmonlb/http/server.h"
#include "persimmonlb/relay/relayrequest.h"
#include "persimmonlb/routes/routetable.h"
#include "persimmonlb/state/fleetcommand.h"

namespace persimmonlb
{

/// How a fleet node speaks to those outside: a platform's forms of what the product decides.
struct FleetFace {
    RelayCodec codec;
    /// Reads a configuration of routes. Errors: SheetMalformed.
    std::function<Outcome<RouteTable>(std::string_view text)> parseRoutes;
    /// The request that runs an item of a bulk job.
    std::function<HttpRequest(const std::string &host, const BulkItemSpec &item)> itemRequest;

    EngineCodec engine;

    HttpHandler callers;
    HttpHandler directory;
    HttpHandler readiness;
    HttpHandler control;
    /// What a connection that is closed while idle is told.
    std::function<HttpResponse()> farewell;
    /// The answer to a request that is refused before it is looked at.
    std::function<HttpResponse(const Error &error)> refusal;
};

} // namespace persimmonlb
