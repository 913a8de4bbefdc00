#include "persimmonlb/serving/testing/servingbench.h"

#include <utility>

namespace persimmonlb
{

namespace
{

constexpr Milliseconds tickInterval{20};
constexpr Milliseconds announceInterval{1000};
constexpr Milliseconds fetchInterval{500};
const ServiceName chatService{"lettering-lm"};
const ServiceName plainService{"booking-app"};

std::shared_ptr<const Sheet> makeSheet()
{
    Sheet sheet;
    sheet.number = 1;
    sheet.services = {SheetService{.name = chatService, .model = ModelName{"lm"}},
                      SheetService{.name = plainService, .kind = ServiceKind::Plain, .model = {}}};
    sheet.models = {SheetModel{.name = ModelName{"lm"}, .version = "1", .adapters = {}}};
    return std::make_shared<const Sheet>(std::move(sheet));
}

/// Calls `done` only while the process lives.
template <typename Value>
std::function<void(Outcome<Value>)> whileAlive(std::shared_ptr<bool> alive,
                                               std::function<void(Outcome<Value>)> done)
{
    return [alive = std::move(alive), done = std::move(done)](Outcome<Value> value) {
        if (*alive) {
            done(std::move(value));
        }
    };
}

std::string chatBody(const std::string &prompt, bool stream)
{
    return R"({"model":"lettering-lm","messages":[{"role":"user","content":")" + prompt
        + R"("}],"stream":)" + (stream ? "true" : "false") + "}";
}

} // namespace

FakeEntry::FakeEntry(std::uint32_t number, VirtualTime &time, FakeLog &log, FakeFleet &fleet,
                     std::shared_ptr<const Sheet> sheet)
    : self{HostId{"entry-" + std::to_string(number)}, 1}
    , table(ServerTableOptions{.self = self.host}, time.clock())
    , router(RouterOptions{}, time.clock(), seededRandom(number), table, RouterHooks{})
    , quota(QuotaOptions{}, time.clock())
    , suspects(SuspectsOptions{.self = self}, time.clock(), suspectsHooks(time, log, fleet))
    , service(OnlineOptions{.self = self, .retryBudget = {}}, time.clock(), seededRandom(number),
              router, quota, suspects, hooks(time, log, fleet, std::move(sheet)))
{
}

void FakeEntry::kill()
{
    *alive = false;
}

SuspectsHooks FakeEntry::suspectsHooks(VirtualTime &time, FakeLog &log, FakeFleet &fleet)
{
    SuspectsHooks result;
    result.propose
        = [&log, alive = alive](const Command &command, std::function<void(Outcome<Reply>)> done) {
              log.propose(command, whileAlive(alive, std::move(done)));
          };
    result.after = [&time, alive = alive](Milliseconds delay, std::function<void()> fn) {
        time.after(delay, [alive, fn = std::move(fn)] {
            if (*alive) {
                fn();
            }
        });
    };
    result.fetchState = [&log, alive = alive](std::function<void(Outcome<EntryStateAnswer>)> done) {
        log.fetchState(whileAlive(alive, std::move(done)));
    };
    result.probe
        = [this, &time, &fleet](const ServerId &server,
                                const std::function<void(Outcome<ServerAnnouncement>)> &done) {
              const auto known = table.find(server);
              const bool lives = known && fleet.isAlive(known->announcement.address);
              ServerAnnouncement said = known ? known->announcement : ServerAnnouncement{};
              said.incarnation = fleet.incarnation(said.address);
              time.after(Milliseconds(2), [done, lives, said] {
                  done(lives ? Outcome<ServerAnnouncement>(said)
                             : Outcome<ServerAnnouncement>(
                                 makeError(ResultCode::BackendConnectFailed, "refused")));
              });
          };
    return result;
}

OnlineHooks FakeEntry::hooks(VirtualTime &time, FakeLog &log, FakeFleet &fleet,
                             std::shared_ptr<const Sheet> sheet)
{
    OnlineHooks result;
    const SuspectsHooks common = suspectsHooks(time, log, fleet);
    result.after = common.after;
    result.propose = common.propose;
    result.sendToServer
        = [&fleet, alive = alive](const std::string &address, const HttpRequest &request,
                                  Milliseconds deadline, HttpExchangeHooks exchange) {
              const auto guarded = [alive](auto hook) {
                  return [alive, hook = std::move(hook)](auto value) {
                      if (*alive) {
                          hook(std::move(value));
                      }
                  };
              };
              return fleet.send(address, request, deadline,
                                HttpExchangeHooks{.head = guarded(std::move(exchange.head)),
                                                  .chunk = guarded(std::move(exchange.chunk)),
                                                  .end = guarded(std::move(exchange.end))});
          };
    result.sheet = [sheet = std::move(sheet)] {
        return sheet;
    };
    result.admission = [this] {
        return admission;
    };
    result.recordRefusal = [](const CallerName &, const ServiceName &, const Error &) {
    };
    result.otherHosts = [] {
        return std::vector<std::string>{"10.1.1.1:80"};
    };
    result.ended = [this](const RequestEnd &end) {
        ends.push_back(end);
    };
    result.blockedFor = [this](const std::vector<std::uint64_t> &) {
        return blockedFor;
    };
    result.runJudged = [this](const RunVerdict &verdict) {
        verdicts.push_back(verdict);
    };
    return result;
}

ServingBench::ServingBench(std::uint32_t entryCount, std::uint32_t serverCount, std::uint32_t slots)
    : serverCount_(serverCount)
    , slots_(slots)
{
    const auto sheet = makeSheet();
    for (std::uint32_t i = 0; i < entryCount; ++i) {
        entries.push_back(std::make_unique<FakeEntry>(i, time, log, fleet, sheet));
    }
    tick();
}

std::string ServingBench::address(std::uint32_t server)
{
    return "10.0.0." + std::to_string(server) + ":80";
}

void ServingBench::announceAll()
{
    ++sequence_;
    for (std::uint32_t i = 0; i < serverCount_ * 2; ++i) {
        if (!fleet.isAlive(address(i))) {
            continue;
        }
        const bool isPlain = i >= serverCount_;
        ServerAnnouncement said;
        said.server = ServerId{"s" + std::to_string(i)};
        said.address = address(i);
        said.service = isPlain ? plainService : chatService;
        said.kind = isPlain ? ServerKind::Plain : ServerKind::Engine;
        said.model = ModelName{isPlain ? "" : "lm"};
        said.version = isPlain ? "" : "1";
        said.slots = slots_;
        said.incarnation = fleet.incarnation(said.address);
        said.sequence = sequence_;
        for (const auto &entry : entries) {
            entry->table.announce(said);
        }
    }
}

void ServingBench::tick()
{
    if (time.now() >= nextAnnounce_) {
        nextAnnounce_ = time.now() + announceInterval;
        announceAll();
    }
    const bool fetch = time.now() >= nextFetch_;
    if (fetch) {
        nextFetch_ = time.now() + fetchInterval;
    }
    for (const auto &entry : entries) {
        if (!*entry->alive) {
            continue;
        }
        entry->table.tick();
        entry->router.tick();
        for (const ServerId &lost : entry->table.takeLost()) {
            entry->service.serverLost(lost);
        }
        if (fetch) {
            log.fetchState([&entry = *entry](const Outcome<EntryStateAnswer> &state) {
                entry.suspects.setState(state.value());
            });
        }
    }
    time.after(tickInterval, [this] { tick(); });
}

std::shared_ptr<FakeResponder> ServingBench::chat(std::size_t entry, const std::string &prompt,
                                                  bool stream, HttpHeaders headers)
{
    auto responder = makeResponder();
    entries[entry]->service.handleChat(HttpRequest{.method = "POST",
                                                   .target = "/v1/chat/completions",
                                                   .headers = std::move(headers),
                                                   .body = chatBody(prompt, stream),
                                                   .remoteAddress = {}},
                                       responder);
    return responder;
}

std::shared_ptr<FakeResponder> ServingBench::once(std::size_t entry, const std::string &key,
                                                  const std::string &body,
                                                  const std::string &deadlineMs)
{
    auto responder = makeResponder();
    HttpRequest request{.method = "POST",
                        .target = "/services/booking-app/accept",
                        .headers = {},
                        .body = body,
                        .remoteAddress = {}};
    request.headers.fields = {{"Persimmonlb-Idempotent", "false"},
                              {"Persimmonlb-Caller", "painter"},
                              {"Persimmonlb-Deadline-Ms", deadlineMs},
                              {"Idempotency-Key", key}};
    entries[entry]->service.handlePlain(std::move(request), responder);
    return responder;
}

std::shared_ptr<FakeResponder> ServingBench::makeResponder()
{
    auto responder = std::make_shared<FakeResponder>();
    responder->ended = [this, &responder = *responder] {
        responder.runsAtEnd = fleet.runs.size();
    };
    return responder;
}

void ServingBench::repeat(Milliseconds interval, Milliseconds end, const std::function<void()> &fn)
{
    for (Milliseconds at = interval; at <= end; at += interval) {
        time.after(at, fn);
    }
}

void ServingBench::run(Milliseconds duration)
{
    time.run(duration);
}

std::string ServingBench::fingerprint(const std::string &prompt, bool stream) const
{
    return fingerprintOf(chatService, chatBody(prompt, stream));
}

} // namespace persimmonlb
