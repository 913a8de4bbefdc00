#include "persimmonlb/testing/internal/entrycaller.h"

#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

namespace persimmonlb
{

using Json = nlohmann::json;

namespace
{

constexpr std::uint32_t maxAttempts = 3;
constexpr Milliseconds directoryTimeout{2000};
constexpr Milliseconds directoryRetry{500};
/// Time past the deadline in which the system's own answer may still arrive.
constexpr Milliseconds answerGrace{2000};

bool isSuccess(std::uint16_t status)
{
    constexpr std::uint16_t firstSuccess = 200;
    constexpr std::uint16_t firstRedirect = 300;
    return status >= firstSuccess && status < firstRedirect;
}

/// A refusal of one entry host that names others to ask instead.
bool sendsElsewhere(const std::string &body)
{
    const std::uint16_t code = refusalCode(body);
    return code == static_cast<std::uint16_t>(ResultCode::NotInForce)
        || code == static_cast<std::uint16_t>(ResultCode::Draining);
}

} // namespace

std::uint16_t refusalCode(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    const Json::json_pointer path("/error/code");
    const bool known = json.contains(path) && json[path].is_number_unsigned();
    return known ? json[path].get<std::uint16_t>() : 0;
}

bool CallEnd::success() const
{
    return isSuccess(status) && transport == ResultCode::Ok;
}

struct EntryCaller::Call {
    std::uint64_t number = 0;
    HttpRequest request;
    MonotonicTime deadline;
    CallHooks hooks;
    CallEnd result;
    std::unique_ptr<HttpExchange> exchange;
};

EntryCaller::EntryCaller(boost::asio::io_context &context, HttpClient &client,
                         CallerOptions options, RandomSource random)
    : context_(context)
    , client_(client)
    , options_(std::move(options))
    , random_(std::move(random))
    , hosts_(options_.hosts)
    , refresh_(context)
{
    next_ = random_() % std::max<std::size_t>(hosts_.size(), 1);
    if (!options_.direct) {
        refreshDirectory();
    }
}

EntryCaller::~EntryCaller() = default;

const CallerOptions &EntryCaller::options() const
{
    return options_;
}

void EntryCaller::send(HttpRequest request, Milliseconds deadline, CallHooks hooks)
{
    auto &headers = request.headers.fields;
    if (!options_.caller.empty()) {
        headers.push_back({"Persimmonlb-Caller", options_.caller});
    }
    if (!options_.key.empty()) {
        headers.push_back({"Authorization", "Bearer " + options_.key});
    }
    headers.push_back({"Persimmonlb-Deadline-Ms", std::to_string(deadline.count())});
    auto call = std::make_shared<Call>();
    call->number = ++lastCall_;
    call->request = std::move(request);
    call->deadline = BootClock::now() + deadline;
    call->hooks = std::move(hooks);
    calls_.emplace(call->number, call);
    attempt(call);
}

void EntryCaller::attempt(const CallPtr &call)
{
    ++call->result.attempts;
    call->result.status = 0;
    call->result.body.clear();
    const std::weak_ptr<Call> weak = call;
    HttpExchangeHooks hooks;
    hooks.head = [weak](const HttpResponseHead &head) {
        if (const CallPtr current = weak.lock()) {
            current->result.status = head.status;
        }
    };
    hooks.chunk = [weak](const std::string &piece) {
        const CallPtr current = weak.lock();
        if (!current) {
            return;
        }
        if (current->hooks.piece && isSuccess(current->result.status)) {
            current->hooks.piece(piece);
        } else {
            current->result.body += piece;
        }
    };
    hooks.end = [this, weak](const HttpExchangeEnd &end) {
        // The exchange must not be destroyed within its own hook.
        boost::asio::post(context_, [this, weak, end] {
            if (const CallPtr current = weak.lock()) {
                ended(current, end);
            }
        });
    };
    const auto left = std::chrono::duration_cast<Milliseconds>(call->deadline - BootClock::now());
    call->exchange = client_.start(nextHost(), call->request,
                                   std::max(left, Milliseconds(0)) + answerGrace, std::move(hooks));
}

void EntryCaller::ended(const CallPtr &call, const HttpExchangeEnd &end)
{
    call->result.transport = end.code;
    const bool notSent
        = end.sendState == SendState::NothingSent && end.code != ResultCode::DeadlineExceeded;
    const bool elsewhere = end.code == ResultCode::Ok && !isSuccess(call->result.status)
        && sendsElsewhere(call->result.body);
    const bool again = (notSent || elsewhere) && call->result.attempts < maxAttempts
        && BootClock::now() < call->deadline;
    if (again) {
        attempt(call);
        return;
    }
    calls_.erase(call->number);
    call->hooks.end(call->result);
}

std::string EntryCaller::nextHost()
{
    return hosts_.empty() ? "127.0.0.1:0" : hosts_[next_++ % hosts_.size()];
}

std::size_t EntryCaller::open() const
{
    return calls_.size();
}

void EntryCaller::abandon()
{
    calls_.clear();
}

void EntryCaller::refreshDirectory()
{
    HttpRequest request;
    request.method = "GET";
    request.target = "/v1/entry-hosts?availability_zone=" + options_.zone;
    auto body = std::make_shared<std::string>();
    auto end = std::make_shared<CallEnd>();
    HttpExchangeHooks hooks;
    hooks.head = [end](const HttpResponseHead &head) {
        end->status = head.status;
    };
    hooks.chunk = [body](const std::string &piece) {
        *body += piece;
    };
    hooks.end = [this, body, end](const HttpExchangeEnd &result) {
        end->transport = result.code;
        takeDirectory(*end, *body);
    };
    const auto &known = hosts_.empty() ? options_.hosts : hosts_;
    directory_ = client_.start(known[random_() % known.size()], request, directoryTimeout,
                               std::move(hooks));
}

void EntryCaller::takeDirectory(const CallEnd &end, const std::string &body)
{
    Milliseconds wait = directoryRetry;
    std::vector<std::string> hosts;
    const Json json = Json::parse(body, nullptr, false);
    if (end.success() && json.is_object() && json.contains("hosts")) {
        for (const Json &host : json["hosts"]) {
            hosts.push_back(host.is_object() ? host.value("address", "") : "");
        }
        wait = std::max(wait, Milliseconds(json.value("ttl_ms", wait.count())));
    }
    // Without an answer, go back to the hosts that the tool was started with.
    hosts_ = hosts.empty() ? options_.hosts : std::move(hosts);
    refresh_.expires_after(wait);
    refresh_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            refreshDirectory();
        }
    });
}

} // namespace persimmonlb
