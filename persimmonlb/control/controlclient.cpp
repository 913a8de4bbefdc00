#include "persimmonlb/control/controlclient.h"

#include <algorithm>
#include <utility>

namespace persimmonlb
{

ControlClient::ControlClient(ControlClientOptions options, Clock clock, RandomSource random,
                             ControlSend send)
    : options_(std::move(options))
    , clock_(std::move(clock))
    , random_(std::move(random))
    , send_(std::move(send))
{
}

void ControlClient::propose(const Command &command, std::function<void(Outcome<Reply>)> done)
{
    auto answered = [done](const ControlReply &reply) {
        done(decodeReply(reply.payload));
    };
    auto failed = [done = std::move(done)](Error error) {
        done(std::move(error));
    };
    add(ProposeRequest{nextRequestId_, encodeCommand(command)}, std::move(answered),
        std::move(failed));
}

void ControlClient::query(const Query &query, std::function<void(Outcome<Answer>)> done)
{
    auto answered = [done](const ControlReply &reply) {
        done(decodeAnswer(reply.payload));
    };
    auto failed = [done = std::move(done)](Error error) {
        done(std::move(error));
    };
    add(QueryRequest{nextRequestId_, encodeQuery(query)}, std::move(answered), std::move(failed));
}

void ControlClient::add(PeerBody body, std::function<void(const ControlReply &)> answered,
                        std::function<void(Error)> failed)
{
    const MonotonicTime now = clock_.monotonic();
    Request request{.body = std::move(body),
                    .answered = std::move(answered),
                    .failed = std::move(failed),
                    .deadline = now + options_.deadline,
                    .nextAttempt = now,
                    .target = leader_.empty() ? anyControlHost() : leader_,
                    .mayHaveArrived = false};
    const auto position = requests_.emplace(nextRequestId_++, std::move(request)).first;
    attempt(position->second);
}

void ControlClient::attempt(Request &request)
{
    const bool sent = send_(request.target, request.body);
    const MonotonicTime now = clock_.monotonic();
    if (sent) {
        request.mayHaveArrived = true;
        request.nextAttempt = now + options_.attemptTimeout;
        return;
    }
    chooseOtherTarget(request);
    request.nextAttempt = now + options_.retryPause;
}

void ControlClient::chooseOtherTarget(Request &request)
{
    const HostId failed = request.target;
    if (leader_ == failed) {
        leader_ = HostId();
    }
    const auto &hosts = options_.controlHosts;
    const auto position = std::ranges::find(hosts, failed);
    if (position == hosts.end() || hosts.size() == 1) {
        request.target = anyControlHost();
        return;
    }
    const auto next = (static_cast<std::size_t>(position - hosts.begin()) + 1) % hosts.size();
    request.target = hosts[next];
}

HostId ControlClient::anyControlHost() const
{
    if (options_.controlHosts.empty()) {
        return HostId();
    }
    return options_.controlHosts[random_() % options_.controlHosts.size()];
}

void ControlClient::receive(const HostId &from, const ControlReply &reply)
{
    const auto position = requests_.find(reply.requestId);
    if (position == requests_.end()) {
        return;
    }
    Request &request = position->second;
    if (reply.code == ResultCode::NotLeader) {
        if (request.target != from) {
            return;
        }
        if (!reply.leader.empty() && reply.leader != from) {
            leader_ = reply.leader;
            request.target = reply.leader;
            attempt(request);
            return;
        }
        chooseOtherTarget(request);
        request.nextAttempt = clock_.monotonic() + options_.retryPause;
        return;
    }
    if (reply.code == ResultCode::NoQuorum) {
        chooseOtherTarget(request);
        request.nextAttempt = clock_.monotonic() + options_.retryPause;
        return;
    }
    leader_ = from;
    const Request finished = std::move(request);
    requests_.erase(position);
    if (reply.code == ResultCode::Ok) {
        finished.answered(reply);
        return;
    }
    finished.failed(makeError(reply.code, reply.message));
}

void ControlClient::tick()
{
    const MonotonicTime now = clock_.monotonic();
    std::vector<Request> expired;
    for (auto position = requests_.begin(); position != requests_.end();) {
        Request &request = position->second;
        if (request.deadline <= now) {
            expired.push_back(std::move(request));
            position = requests_.erase(position);
            continue;
        }
        if (request.nextAttempt <= now) {
            if (request.mayHaveArrived) {
                chooseOtherTarget(request);
            }
            attempt(request);
        }
        ++position;
    }
    for (const Request &request : expired) {
        if (request.mayHaveArrived) {
            request.failed(makeError(ResultCode::NoQuorum, "no answer from the control group"));
            continue;
        }
        request.failed(makeError(ResultCode::PeerUnreachable, "no control host reachable"));
    }
}

const HostId &ControlClient::leader() const
{
    return leader_;
}

void ControlClient::noteLeader(const HostId &leader)
{
    leader_ = leader;
}

void ControlClient::setControlHosts(std::vector<HostId> hosts)
{
    if (!hosts.empty()) {
        options_.controlHosts = std::move(hosts);
    }
}

} // namespace persimmonlb
