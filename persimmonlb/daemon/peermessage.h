#pragma once

#include <optional>
#include <string_view>

#include "persimmonlb/base/metrics.h"
#include "persimmonlb/wire/message.h"

namespace persimmonlb
{

/// Decodes what a peer sent. One that cannot be read is counted and logged; nothing then.
std::optional<PeerMessage> readPeerMessage(const HostId &from, std::string_view bytes,
                                           Metrics &metrics);

} // namespace persimmonlb
