#include "persimmonlb/control/controlclient.h"

#include <algorithm>
#include <utility>

#include "persimmonlb/base/logline.h"

namespace persimmonlb
{

namespace
{

/// The code that a caller of the command or query gets to see.
ResultCode outcomeOf(const ControlReply &reply)
{
    if (reply.code != ResultCode::Ok) {
        return reply.code;
    }
    const auto decoded = decodeReply(reply.payload);
    const auto *plain = decoded.ok() ? std::get_if<PlainReply>(&decoded.value()) : nullptr;
    return plain != nullptr ? plain->code : ResultCode::Ok;
}

/// A random number other than 0, so that no two clients share a session.
std::uint64_t makeSession(const RandomSource &random)
{
    return std::max<std::uint64_t>(random(), 1);
}

/// The first of a range of numbers that does not meet the range of an earlier process of this host,
/// whose answers may still be on their way.
std::uint64_t firstRequestId(const RandomSource &random)
{
    return (random() >> 1U) + 1;
}

} // namespace

ControlClient::ControlClient(ControlClientOptions options, Clock clock, RandomSource random,
                             ControlSend send)
    : options_(std::move(options))
    , clock_(std::move(clock))
    , random_(std::move(random))
    , send_(std::move(send))
    , session_(makeSession(random_))
    , nextRequestId_(firstRequestId(random_))
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
    add(ProposeRequest{nextRequestId_, encodeCommand(command, nextOrigin())}, commandName(command),
        std::move(answered), std::move(failed));
}

void ControlClient::query(const Query &query, std::function<void(Outcome<Answer>)> done)
{
    auto answered = [done](const ControlReply &reply) {
        done(decodeAnswer(reply.payload));
    };
    auto failed = [done = std::move(done)](Error error) {
        done(std::move(error));
    };
    add(QueryRequest{nextRequestId_, encodeQuery(query)}, "query", std::move(answered),
        std::move(failed));
}

void ControlClient::add(PeerBody body, std::string_view name,
                        std::function<void(const ControlReply &)> answered,
                        std::function<void(Error)> failed)
{
    const MonotonicTime now = clock_.monotonic();
    Request request{.body = std::move(body),
                    .name = name,
                    .answered = std::move(answered),
                    .failed = std::move(failed),
                    .deadline = now + options_.deadline,
                    .nextAttempt = now,
                    .target = leader_.empty() ? anyControlHost() : leader_,
                    .sentTo = {},
                    .copies = 0};
    const auto position = requests_.emplace(nextRequestId_++, std::move(request)).first;
    attempt(position->first, position->second);
}

CommandOrigin ControlClient::nextOrigin() const
{
    return CommandOrigin{.session = session_,
                         .sequence = nextRequestId_,
                         .oldestPending
                         = requests_.empty() ? nextRequestId_ : requests_.begin()->first};
}

void ControlClient::attempt(std::uint64_t id, Request &request)
{
    const bool sent = send_(request.target, request.body);
    const MonotonicTime now = clock_.monotonic();
    if (sent) {
        request.sentTo.insert(request.target);
        ++request.copies;
        if (request.copies == 2) {
            LogLine(LogLevel::Info, "control_request_repeated")
                .add("id", static_cast<std::int64_t>(id))
                .add("kind", request.name)
                .add("to", request.target.value)
                .write();
        }
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
        LogLine(LogLevel::Info, "control_answer_dropped")
            .add("id", static_cast<std::int64_t>(reply.requestId))
            .add("from", from.value)
            .add("outcome", describe(outcomeOf(reply)).name)
            .write();
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
            attempt(position->first, request);
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
    const std::uint64_t id = position->first;
    const Request finished = std::move(request);
    requests_.erase(position);
    if (finished.copies > 1 || !finished.sentTo.contains(from)) {
        LogLine(LogLevel::Info, "control_request_ended")
            .add("id", static_cast<std::int64_t>(id))
            .add("kind", finished.name)
            .add("from", from.value)
            .add("asked", finished.sentTo.contains(from) ? "yes" : "no")
            .add("copies", finished.copies)
            .add("outcome", describe(outcomeOf(reply)).name)
            .write();
    }
    if (reply.code == ResultCode::Ok) {
        finished.answered(reply);
        return;
    }
    Error error = makeError(reply.code, reply.message);
    if (finished.copies > 1) {
        // The error speaks of one copy; another one may still be applied.
        error.run = RunState::Unknown;
    }
    finished.failed(std::move(error));
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
            if (request.copies > 0) {
                chooseOtherTarget(request);
            }
            attempt(position->first, request);
        }
        ++position;
    }
    for (const Request &request : expired) {
        if (request.copies > 0) {
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
