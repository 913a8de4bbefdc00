#include <cstdlib>
#include <utility>

#include "persimmonlb/base/metrics.h"
#include "persimmonlb/bulk/bulkrunner.h"
#include "persimmonlb/bulk/testing/fakebulkstate.h"
#include "persimmonlb/crashes/crashledger.h"
#include "persimmonlb/slots/slotbroker.h"
#include "persimmonlb/testing/trial/scheduler.h"

namespace persimmonlb::trial
{

namespace
{

const ServiceName engine{"lm"};
constexpr const char *resumeHeader = "resume-behind";
constexpr Milliseconds tickInterval{20};
constexpr Milliseconds commitTime{3}; ///< Of a command in the replicated log.
constexpr std::uint64_t tokensPerEvent = 8;

HostId entryName(std::size_t entry)
{
    return HostId{std::to_string(entry)};
}

std::size_t numberOf(const std::string &text)
{
    return std::strtoull(text.c_str(), nullptr, 10);
}

class BrokerScheduler : public std::enable_shared_from_this<BrokerScheduler>
{
public:
    BrokerScheduler(SchedulerWorld world, const SlotBrokerOptions &options);

    void begin()
    {
        announceServers();
        tick();
    }
    void arrive(const Attempt &attempt);
    void ended(std::uint64_t attempt, std::size_t server, bool whole);
    void acceptJob(const std::vector<std::pair<std::uint64_t, BatchItem>> &items,
                   Milliseconds dueIn);
    void serverChanged(std::size_t server, bool up);

    [[nodiscard]] std::uint32_t batchRunning() const
    {
        return static_cast<std::uint32_t>(runner_.runCount());
    }

    SchedulerCost cost;

private:
    struct Sent {
        std::size_t entry = 0;
        MonotonicTime at;
    };

    /// A batch run on the fleet, as the runner sees it.
    class Exchange : public HttpExchange
    {
    public:
        Exchange(FleetModel &fleet, std::uint64_t run)
            : fleet_(fleet)
            , run_(run)
        {
        }
        Exchange(const Exchange &) = delete;
        Exchange &operator=(const Exchange &) = delete;
        ~Exchange() override
        {
            fleet_.cancel(run_);
        }
        void pause() override
        {
        }
        void resume() override
        {
        }

    private:
        FleetModel &fleet_;
        std::uint64_t run_;
    };

    SlotBrokerHooks brokerHooks();
    BulkRunnerHooks runnerHooks();
    std::unique_ptr<HttpExchange> sendItem(const std::string &address, const HttpRequest &request,
                                           const HttpExchangeHooks &hooks);
    void apply(const Command &command);
    void announceServers();
    void tick();

    SchedulerWorld world_;
    Clock clock_;
    Metrics metrics_;
    testing::FakeBulkState state_;
    std::shared_ptr<const RouteTable> routes_;
    SlotBroker broker_;
    CrashLedger crashes_;
    BulkRunner runner_;
    std::map<std::uint64_t, Sent> sent_;
    std::map<std::string, BatchItem> specs_;
    std::map<std::string, std::uint32_t> made_; ///< Events of an item so far.
    std::uint64_t nextJob_ = 1;
};

BrokerScheduler::BrokerScheduler(SchedulerWorld world, const SlotBrokerOptions &options)
    : world_(std::move(world))
    , clock_(world_.time.clock())
    , routes_(testing::batchRoutes(engine))
    , broker_(options, clock_, world_.random, brokerHooks())
    , crashes_(CrashLedgerOptions{}, clock_)
    , runner_(BulkRunnerOptions{}, clock_, broker_, crashes_, metrics_, runnerHooks())
{
}

SlotBrokerHooks BrokerScheduler::brokerHooks()
{
    SlotBrokerHooks hooks;
    hooks.grant = [this](const HostId &to, const SlotGrant &grant) {
        ++cost.messages;
        if (grant.server.empty()) {
            return;
        }
        world_.time.after(world_.hop, [this, entry = numberOf(to.value), grant] {
            sent_[grant.ticket] = Sent{entry, clock_.monotonic()};
            world_.decisions.send(grant.ticket, numberOf(grant.server.value));
        });
    };
    hooks.refuse = [this](const HostId &, const SlotRefusal &refusal) {
        ++cost.messages;
        world_.time.after(world_.hop, [this, refusal] {
            world_.decisions.refuse(refusal.ticket,
                                    Milliseconds(static_cast<std::int64_t>(refusal.retryAfterMs)));
        });
    };
    hooks.yieldBatch = [this](const ServiceName &service) {
        return runner_.yield(service);
    };
    hooks.batchMayStart = [this](const ServiceName &service) {
        runner_.startItems(service);
    };
    return hooks;
}

BulkRunnerHooks BrokerScheduler::runnerHooks()
{
    BulkRunnerHooks hooks;
    hooks.table = [this]() -> const BulkTable * {
        return &state_.table();
    };
    hooks.routes = [this] {
        return routes_;
    };
    hooks.propose = [this](const Command &command, std::function<void(Outcome<Reply>)> done) {
        world_.time.after(commitTime, [this, command, done = std::move(done)] {
            apply(command);
            done(Reply(PlainReply{}));
        });
    };
    hooks.itemRequest = [](const std::string &, const BulkItemSpec &item) {
        HttpRequest request;
        request.target = item.id;
        return request;
    };
    hooks.codec.encode = [](const HttpRequest &request, const RelayAttempt &attempt) {
        HttpRequest sent = request;
        if (attempt.lastEventId) {
            sent.headers.fields.push_back({resumeHeader, std::to_string(*attempt.lastEventId)});
        }
        return sent;
    };
    hooks.codec.classify = [](const std::string &, const HttpResponseHead &) {
        return ResponseClass::Success;
    };
    hooks.send = [this](const std::string &address, const HttpRequest &request, Milliseconds,
                        const HttpExchangeHooks &exchangeHooks) {
        return sendItem(address, request, exchangeHooks);
    };
    return hooks;
}

std::unique_ptr<HttpExchange> BrokerScheduler::sendItem(const std::string &address,
                                                        const HttpRequest &request,
                                                        const HttpExchangeHooks &hooks)
{
    const BatchItem &spec = specs_.at(request.target);
    const std::string_view behind = request.headers.find(resumeHeader);
    const auto first
        = behind.empty() ? 0U : static_cast<std::uint32_t>(numberOf(std::string(behind)));
    RunHooks run;
    run.event = [this, hooks, first, id = request.target](std::uint32_t index, bool last) {
        std::uint32_t &made = made_[id];
        (index < made ? cost.batchEventsAgain : cost.batchEvents) += 1;
        made = std::max(made, index + 1);
        if (index == first) {
            hooks.head(HttpResponseHead{200, {}});
        }
        hooks.chunk("id: " + std::to_string(index + 1) + "\ndata: x\n\n");
        if (last) {
            hooks.end(HttpExchangeEnd{SendState::Sent, ResultCode::Ok, {}});
        }
    };
    run.lost = [hooks] {
        hooks.end(HttpExchangeEnd{SendState::Sent, ResultCode::BackendFailed, "lost"});
    };
    const std::uint64_t number
        = world_.fleet.start(numberOf(address), spec.prompt, first, spec.events, std::move(run));
    return std::make_unique<Exchange>(world_.fleet, number);
}

void BrokerScheduler::apply(const Command &command)
{
    state_.apply(command);
    const auto *recorded = std::get_if<RecordBulk>(&command);
    if (recorded == nullptr) {
        return;
    }
    for (const BulkOutcome &outcome : recorded->outcomes) {
        if (outcome.phase == BulkItemPhase::Completed) {
            const BulkItem &item = state_.table().jobs().at(recorded->id).items[outcome.index];
            world_.decisions.itemDone(numberOf(item.id));
        }
    }
}

void BrokerScheduler::arrive(const Attempt &attempt)
{
    ++cost.messages;
    SlotRequest request;
    request.ticket = attempt.number;
    request.service = engine;
    request.priority = attempt.priority;
    request.startWithinMs
        = static_cast<std::uint64_t>((attempt.objective - firstEventAllowance()).count());
    request.giveUpAfterMs
        = static_cast<std::uint64_t>((attempt.callerWaits - firstEventAllowance()).count());
    request.cameBack = attempt.cameBack;
    request.prompt = attempt.promptParts;
    request.availabilityZone = attempt.availabilityZone;
    request.tokens = attempt.prompt.size() / engineBytesPerToken + attempt.events * tokensPerEvent;
    world_.time.after(world_.hop, [this, request, entry = entryName(attempt.entry)] {
        const Stopwatch watch(cost.deciding);
        broker_.request(entry, request);
    });
}

void BrokerScheduler::ended(std::uint64_t attempt, std::size_t /*server*/, bool whole)
{
    ++cost.messages;
    const Sent sent = sent_.at(attempt);
    sent_.erase(attempt);
    const auto held
        = std::chrono::duration_cast<Milliseconds>(clock_.monotonic() - sent.at).count();
    const SlotEnd end{.ticket = attempt,
                      .outcome = whole ? SlotOutcome::Completed : SlotOutcome::Failed,
                      .heldMs = static_cast<std::uint64_t>(held)};
    world_.time.after(world_.hop, [this, end, entry = entryName(sent.entry)] {
        const Stopwatch watch(cost.deciding);
        broker_.end(entry, end);
    });
}

void BrokerScheduler::acceptJob(const std::vector<std::pair<std::uint64_t, BatchItem>> &items,
                                Milliseconds dueIn)
{
    AcceptBulk command;
    command.id = JobId{std::to_string(nextJob_++)};
    command.route = "r";
    command.host = "a.example";
    command.maxAttempts = 3;
    command.dueAfter = dueIn;
    command.abandonAfter = Milliseconds(60000);
    command.keepFor = Milliseconds(120000);
    command.at = clock_.wall();
    for (const auto &[number, spec] : items) {
        const std::string id = std::to_string(number);
        specs_[id] = spec;
        command.items.push_back(BulkItemSpec{.id = id,
                                             .path = "/x",
                                             .headers = {},
                                             .body = id,
                                             .tokens = spec.prompt.size() / engineBytesPerToken
                                                 + spec.events * tokensPerEvent});
    }
    world_.time.after(commitTime, [this, command] {
        apply(command);
        runner_.startItems(engine);
    });
}

void BrokerScheduler::serverChanged(std::size_t /*server*/, bool /*up*/)
{
    announceServers();
}

void BrokerScheduler::announceServers()
{
    std::vector<FleetServer> servers;
    std::set<ServerId> usable;
    for (std::size_t i = 0; i < world_.fleet.size(); ++i) {
        if (!world_.fleet.isUp(i)) {
            continue;
        }
        FleetServer server;
        server.id = ServerId{std::to_string(i)};
        server.bornMs = 1;
        server.service = engine;
        server.address = std::to_string(i);
        server.slots = world_.fleet.slots();
        server.availabilityZone = world_.fleet.zoneOf(i);
        usable.insert(server.id);
        servers.push_back(std::move(server));
    }
    broker_.setServers(servers, [this](const ServiceName &) {
        return SlotCapacity{.slots = world_.fleet.slots(),
                            .cacheTokens = world_.fleet.memoryTokens()};
    });
    runner_.endRunsExceptOn(usable);
}

void BrokerScheduler::tick()
{
    broker_.tick();
    runner_.tick();
    world_.time.after(tickInterval, [self = shared_from_this()] { self->tick(); });
}

} // namespace

Scheduler makeBrokerScheduler(SchedulerWorld world)
{
    return schedulerOf(std::make_shared<BrokerScheduler>(std::move(world), SlotBrokerOptions{}));
}

Scheduler makeLearningBrokerScheduler(SchedulerWorld world)
{
    SlotBrokerOptions options;
    options.learnsSpeeds = true;
    return schedulerOf(std::make_shared<BrokerScheduler>(std::move(world), options));
}

} // namespace persimmonlb::trial
