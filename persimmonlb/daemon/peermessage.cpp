#include "persimmonlb/daemon/peermessage.h"

#include <utility>

#include "persimmonlb/base/logline.h"

namespace persimmonlb
{

std::optional<PeerMessage> readPeerMessage(const HostId &from, std::string_view bytes,
                                           Metrics &metrics)
{
    Outcome<PeerMessage> message = decodeMessage(bytes);
    if (!message.ok()) {
        metrics.count("persimmonlb_mesh_undecodable_total", {});
        LogLine(LogLevel::Warning, "peer_message_undecodable")
            .add("from", from.value)
            .add("why", message.error().message)
            .write();
        return std::nullopt;
    }
    return std::move(message.value());
}

} // namespace persimmonlb
