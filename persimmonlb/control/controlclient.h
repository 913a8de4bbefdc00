#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/state/command.h"
#include "persimmonlb/state/query.h"
#include "persimmonlb/wire/message.h"

namespace persimmonlb
{

struct ControlClientOptions {
    std::vector<HostId> controlHosts;
    Milliseconds attemptTimeout{1000}; ///< Until another control host is tried.
    Milliseconds retryPause{50}; ///< After an answer "no leader known".
    Milliseconds deadline{10000}; ///< Until the outcome is reported as not known.
};

/// Sends a message to a control host (this host included); false when it surely was not sent.
using ControlSend = std::function<bool(const HostId &to, PeerBody body)>;

/// Sends commands and queries to the leader of the control group, wherever it is.
///
/// Logs `control_request_repeated` when a request is sent a second time, `control_request_ended`
/// for a request with several copies, and `control_answer_dropped` for an answer that no request
/// waits for.
///
/// Follows leader hints, tries another control host after a timeout, and repeats a request until
/// its deadline. All copies of a command bear the same origin, by which the replicated state
/// applies only the first. Each `done` is called exactly once, from receive() or tick(). Not
/// thread-safe.
///
/// Errors given to `done`: NoQuorum (outcome not known), PeerUnreachable (surely not sent), or the
/// error that the leader answered, whose run state is Unknown if there are other copies.
class ControlClient
{
public:
    ControlClient(ControlClientOptions options, Clock clock, RandomSource random, ControlSend send);

    void propose(const Command &command, std::function<void(Outcome<Reply>)> done);
    void query(const Query &query, std::function<void(Outcome<Answer>)> done);

    /// Takes an answer of a control host.
    void receive(const HostId &from, const ControlReply &reply);
    /// Sends what is due again and gives up what is past its deadline. Call every 20 ms or so.
    void tick();

    /// The leader as last heard, or empty.
    [[nodiscard]] const HostId &leader() const;
    /// Tells the client what another message said of the leader.
    void noteLeader(const HostId &leader);
    /// Replaces the list of hosts that may lead; an empty one is ignored.
    void setControlHosts(std::vector<HostId> hosts);

private:
    struct Request {
        PeerBody body;
        std::string_view name; ///< Of the command or query, for the log.
        std::function<void(const ControlReply &)> answered;
        std::function<void(Error)> failed;
        MonotonicTime deadline;
        MonotonicTime nextAttempt;
        HostId target;
        std::set<HostId> sentTo; ///< Hosts that a copy was sent to.
        std::uint32_t copies = 0;
    };

    void add(PeerBody body, std::string_view name,
             std::function<void(const ControlReply &)> answered, std::function<void(Error)> failed);
    [[nodiscard]] CommandOrigin nextOrigin() const;
    void attempt(std::uint64_t id, Request &request);
    void chooseOtherTarget(Request &request);
    [[nodiscard]] HostId anyControlHost() const;

    ControlClientOptions options_;
    Clock clock_;
    RandomSource random_;
    ControlSend send_;
    HostId leader_;
    std::uint64_t session_;
    std::uint64_t nextRequestId_;
    std::map<std::uint64_t, Request> requests_;
};

} // namespace persimmonlb
