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

    /// Asks an engine what it is doing, and reads the answer. Nothing when the answer is none.
    std::function<HttpRequest()> loadRequest;
    std::function<std::optional<EngineLoad>(std::string_view body)> parseLoad;
    /// See EngineInspectorHooks.
    std::function<HttpRequest(const std::string &run, const std::string &other)> stopRequest;
    std::function<std::optional<HttpRequest>(std::string_view body)> releaseRequest;

    HttpHandler callers;
    HttpHandler directory;
    HttpHandler readiness;
    HttpHandler control;
    /// What a connection that is closed while idle is told.
    std::function<HttpResponse()> farewell;
};

} // namespace persimmonlb
