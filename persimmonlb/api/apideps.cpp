#include "persimmonlb/api/apideps.h"

#include <utility>

#include "persimmonlb/http/errorbody.h"

namespace persimmonlb
{

void respondError(const ApiDeps &deps, const ResponderPtr &responder, const Error &error)
{
    const bool elsewhere
        = error.code == ResultCode::NotInForce || error.code == ResultCode::Draining;
    responder->respond(
        errorResponse(error, elsewhere ? deps.otherHosts() : std::vector<std::string>()));
}

void respondJson(const ResponderPtr &responder, std::uint16_t status, std::string json)
{
    HttpResponse response;
    response.status = status;
    response.headers.fields = {{"Content-Type", "application/json"}};
    response.body = std::move(json);
    responder->respond(std::move(response));
}

} // namespace persimmonlb
