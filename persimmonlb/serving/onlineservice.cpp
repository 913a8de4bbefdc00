#include "persimmonlb/serving/onlineservice.h"

#include <utility>
#include <vector>

#include "persimmonlb/http/errorbody.h"
#include "persimmonlb/serving/callerrequest.h"
#include "persimmonlb/serving/internal/onlinecall.h"

namespace persimmonlb
{

namespace
{

constexpr Milliseconds cancelTimeout{1000};

} // namespace

struct OnlineService::Parts {
    Parts(const OnlineOptions &options, Clock clock, Router &router, QuotaLimiter &gate,
          Suspects &suspects, OnlineHooks hooks)
        : context{.options = options,
                  .clock = std::move(clock),
                  .router = router,
                  .suspects = suspects,
                  .hooks = std::move(hooks),
                  .retryBudget = RetryBudget(options.retryBudget),
                  .retire = [this](auto exchange) { retire(std::move(exchange)); },
                  .cancelRun
                  = [this](const auto &address, const auto &id) { cancelRun(address, id); },
                  .remove =
                      [this](std::uint64_t id) {
                          remove(id);
                      }}
        , quota(gate)
    {
    }

    using Reader = std::function<Outcome<CallerRequest>(const Sheet &sheet)>;
    void handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder,
                const Reader &read);
    void refuse(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder,
                Error error, const ServiceName &service);
    [[nodiscard]] std::optional<Error> mayStart(const CallerRequest &request);
    void start(CallerRequest request, const std::shared_ptr<HttpResponder> &responder);
    void retire(std::unique_ptr<HttpExchange> exchange);
    void cancelRun(const std::string &address, const std::string &id);
    void remove(std::uint64_t id);

    OnlineContext context;
    QuotaLimiter &quota;
    std::uint64_t nextId = 1;
    std::map<std::uint64_t, std::shared_ptr<OnlineCall>> calls;
    std::vector<std::shared_ptr<OnlineCall>> removed;
    std::vector<std::unique_ptr<HttpExchange>> retired;
    bool sweeping = false;
    std::map<std::uint64_t, std::unique_ptr<HttpExchange>> cancels;
    std::uint64_t nextCancel = 1;

private:
    void sweepLater();
};

void OnlineService::Parts::handle(const HttpRequest &request,
                                  const std::shared_ptr<HttpResponder> &responder,
                                  const Reader &read)
{
    if (const auto error = context.hooks.admission()) {
        refuse(request, responder, *error, {});
        return;
    }
    const std::shared_ptr<const Sheet> sheet = context.hooks.sheet();
    if (!sheet) {
        refuse(request, responder, makeError(ResultCode::NotInForce, "no sheet is in force yet"),
               {});
        return;
    }
    Outcome<CallerRequest> parsed = read(*sheet);
    if (!parsed.ok()) {
        refuse(request, responder, parsed.error(), {});
        return;
    }
    if (const auto error = mayStart(parsed.value())) {
        refuse(request, responder, *error, parsed.value().service);
        return;
    }
    start(std::move(parsed.value()), responder);
}

std::optional<Error> OnlineService::Parts::mayStart(const CallerRequest &request)
{
    const Outcome<Done> taken = quota.admit(request.caller);
    if (!taken.ok()) {
        return taken.error();
    }
    return std::nullopt;
}

void OnlineService::Parts::refuse(const HttpRequest &request,
                                  const std::shared_ptr<HttpResponder> &responder, Error error,
                                  const ServiceName &service)
{
    const bool elsewhere
        = error.code == ResultCode::Draining || error.code == ResultCode::NotInForce;
    const bool mayPass = elsewhere || error.code == ResultCode::QuotaExceeded;
    if (mayPass && request.headers.find("Persimmonlb-Idempotent") == "false") {
        // An earlier request with the same key may have run through another host.
        error.run = RunState::Unknown;
    }
    if (mayPass && !error.retryAfter) {
        error.retryAfter = context.options.defaultRetryAfter;
    }
    std::string caller(request.headers.find("Persimmonlb-Caller"));
    context.hooks.recordRefusal(CallerName{std::move(caller)}, service, error);
    responder->respond(
        errorResponse(error, elsewhere ? context.hooks.otherHosts() : std::vector<std::string>()));
    RequestEnd end;
    end.service = service;
    end.caller = CallerName{std::string(request.headers.find("Persimmonlb-Caller"))};
    end.code = error.code;
    end.status = describe(error.code).httpStatus;
    context.hooks.ended(end);
}

void OnlineService::Parts::start(CallerRequest request,
                                 const std::shared_ptr<HttpResponder> &responder)
{
    const std::uint64_t id = nextId++;
    const auto call = std::make_shared<OnlineCall>(context, id, std::move(request), responder);
    calls.emplace(id, call);
    responder->onClosed([weak = std::weak_ptr<OnlineCall>(call)] {
        if (const auto live = weak.lock()) {
            live->callerGone();
        }
    });
    call->start();
}

void OnlineService::Parts::retire(std::unique_ptr<HttpExchange> exchange)
{
    if (!exchange) {
        return;
    }
    retired.push_back(std::move(exchange));
    sweepLater();
}

void OnlineService::Parts::sweepLater()
{
    if (std::exchange(sweeping, true)) {
        return;
    }
    context.hooks.after(Milliseconds(0), [this] {
        sweeping = false;
        const auto calledBefore = std::exchange(removed, {});
        const auto exchanges = std::exchange(retired, {});
    });
}

void OnlineService::Parts::cancelRun(const std::string &address, const std::string &id)
{
    const std::uint64_t number = nextCancel++;
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/cancel";
    request.headers.fields = {{"Content-Type", "application/json"}};
    request.body = R"({"id":")" + id + R"("})";
    HttpExchangeHooks hooks;
    hooks.head = [](const HttpResponseHead &) {
    };
    hooks.chunk = [](const std::string &) {
    };
    const auto ended = std::make_shared<bool>(false);
    hooks.end = [this, number, ended](const HttpExchangeEnd &) {
        *ended = true;
        const auto position = cancels.find(number);
        if (position != cancels.end()) {
            retire(std::move(position->second));
            cancels.erase(position);
        }
    };
    auto exchange
        = context.hooks.sendToServer(address, std::move(request), cancelTimeout, std::move(hooks));
    if (*ended) {
        retire(std::move(exchange));
    } else {
        cancels.emplace(number, std::move(exchange));
    }
}

void OnlineService::Parts::remove(std::uint64_t id)
{
    const auto position = calls.find(id);
    if (position == calls.end()) {
        return;
    }
    // The call may be on the call stack.
    removed.push_back(std::move(position->second));
    calls.erase(position);
    sweepLater();
}

OnlineService::OnlineService(const OnlineOptions &options, Clock clock, RandomSource random,
                             Router &router, QuotaLimiter &quota, Suspects &suspects,
                             OnlineHooks hooks)
    : random_(std::move(random))
    , parts_(std::make_unique<Parts>(options, std::move(clock), router, quota, suspects,
                                     std::move(hooks)))
{
}

OnlineService::~OnlineService() = default;

void OnlineService::handleChat(HttpRequest request, const std::shared_ptr<HttpResponder> &responder)
{
    if (request.method != "POST") {
        parts_->refuse(request, responder, makeError(ResultCode::MethodNotAllowed, "use POST"), {});
        return;
    }
    const std::size_t prefixBytes = parts_->context.options.prefixBytes;
    parts_->handle(request, responder, [&request, prefixBytes](const Sheet &sheet) {
        return readChatRequest(request, sheet, prefixBytes);
    });
}

void OnlineService::handlePlain(HttpRequest request,
                                const std::shared_ptr<HttpResponder> &responder)
{
    parts_->handle(request, responder, [this, &request](const Sheet &sheet) {
        Outcome<CallerRequest> result = readPlainRequest(request, sheet);
        if (result.ok()) {
            // Plain services have no prompt cache: any server is as good.
            result.value().prefixHash = random_();
        }
        return result;
    });
}

std::size_t OnlineService::openRequests() const
{
    return parts_->calls.size();
}

void OnlineService::serverLost(const ServerId &server)
{
    const auto calls = parts_->calls;
    for (const auto &[id, call] : calls) {
        call->serverLost(server);
    }
}

} // namespace persimmonlb
