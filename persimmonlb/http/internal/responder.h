#pragma once

#include <cstdint>
#include <memory>

#include "persimmonlb/http/internal/serverconnection.h"
#include "persimmonlb/http/server.h"

namespace persimmonlb::internal
{

/// The responder of one request. It holds neither the connection nor the server, and does nothing
/// once they are gone or answer another request.
std::shared_ptr<HttpResponder> makeResponder(std::weak_ptr<ServerConnection> connection,
                                             std::uint64_t answer,
                                             std::shared_ptr<AnswerState> state,
                                             std::weak_ptr<ServerShared> shared);

} // namespace persimmonlb::internal
