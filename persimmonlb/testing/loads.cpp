#include "persimmonlb/testing/internal/loads.h"

#include <chrono>
#include <utility>

#include "persimmonlb/testing/workload.h"

namespace persimmonlb
{

namespace
{

Microseconds since(MonotonicTime start)
{
    return BootClock::now() - start;
}

void countVerdict(ClassReport &report, AnswerVerdict verdict, const std::string &reason)
{
    if (verdict == AnswerVerdict::Wrong) {
        ++report.wrong;
        report.firstFault = report.firstFault.empty() ? reason : report.firstFault;
    }
    if (verdict == AnswerVerdict::Short) {
        ++report.shortAnswers;
    }
}

} // namespace

void countFailure(ClassReport &report, const CallEnd &end)
{
    if (end.transport != ResultCode::Ok || end.status == 0) {
        ++report.broken;
        return;
    }
    const std::uint16_t code = refusalCode(end.body);
    const std::string name
        = code == 0 ? "http " + std::to_string(end.status) : std::to_string(code);
    ++report.refused[name];
}

ArrivalLoop::ArrivalLoop(boost::asio::io_context &context, PoissonArrivals arrivals,
                         PhaseWindow window, std::function<void(MonotonicTime)> fire)
    : arrivals_(std::move(arrivals))
    , window_(window)
    , fire_(std::move(fire))
    , timer_(context)
{
}

void ArrivalLoop::start()
{
    const Microseconds first = arrivals_.next();
    next_ = first == Microseconds::max() ? window_.end : window_.start + first;
    arm();
}

void ArrivalLoop::arm()
{
    while (next_ < window_.end && next_ <= BootClock::now()) {
        worstLag_ = window_.measures(next_) ? std::max(worstLag_, since(next_)) : worstLag_;
        fire_(next_);
        next_ = window_.start + arrivals_.next();
    }
    if (next_ >= window_.end) {
        return;
    }
    timer_.expires_after(next_ - BootClock::now());
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            arm();
        }
    });
}

double ArrivalLoop::worstLagMs() const
{
    return std::chrono::duration<double, std::milli>(worstLag_).count();
}

struct OnlineLoad::Request {
    Request(const ChatCall &call, MonotonicTime plannedTime, bool measuredRequest)
        : check(call.answerKey, call.tokens)
        , planned(plannedTime)
        , lastToken(plannedTime)
        , tokens(call.tokens)
        , answerKey(call.answerKey)
        , measured(measuredRequest)
    {
    }
    StreamCheck check;
    MonotonicTime planned;
    MonotonicTime lastToken;
    std::uint32_t tokens;
    std::uint64_t answerKey;
    bool measured;
    bool started = false;
};

OnlineLoad::OnlineLoad(EntryCaller &caller, const OnlineMix &mix, PhaseWindow window,
                       RandomSource random, ClassReport &report)
    : caller_(caller)
    , mix_(mix)
    , window_(window)
    , random_(std::move(random))
    , report_(report)
{
}

void OnlineLoad::fire(MonotonicTime planned)
{
    const ChatCall chat = makeChatCall(mix_.service, mix_.shape, mix_.stream, random_);
    const auto request = std::make_shared<Request>(chat, planned, window_.measures(planned));
    report_.offered += request->measured ? 1 : 0;
    HttpRequest http;
    http.method = "POST";
    http.target = "/v1/chat/completions";
    http.headers.fields.push_back({"Content-Type", "application/json"});
    http.body = chat.body;
    CallHooks hooks;
    if (mix_.stream) {
        hooks.piece = [this, request](const std::string &piece) {
            take(*request, piece);
        };
    }
    hooks.end = [this, request](const CallEnd &end) {
        finish(*request, end);
    };
    caller_.send(std::move(http), mix_.deadline, std::move(hooks));
}

void OnlineLoad::take(Request &request, const std::string &piece)
{
    const std::uint32_t tokens = request.check.feed(piece);
    if (tokens == 0) {
        return;
    }
    const MonotonicTime now = BootClock::now();
    report_.tokens += window_.measures(now) ? tokens : 0;
    LatencyHistogram &latency = request.started ? report_.betweenTokens : report_.firstToken;
    if (request.measured) {
        latency.add(now - request.lastToken);
    }
    request.started = true;
    request.lastToken = now;
}

void OnlineLoad::finish(const Request &request, const CallEnd &end)
{
    report_.retried += request.measured ? end.attempts - 1 : 0;
    if (!end.success()) {
        if (request.measured) {
            countFailure(report_, end);
        }
        return;
    }
    const AnswerVerdict verdict = mix_.stream
        ? request.check.verdict()
        : checkWholeAnswer(end.body, request.answerKey, request.tokens);
    countVerdict(report_, verdict, request.check.reason());
    if (verdict == AnswerVerdict::Refused && request.measured) {
        ++report_.refused["in stream " + std::to_string(request.check.errorCode())];
    }
    if (verdict != AnswerVerdict::Whole || !request.measured) {
        return;
    }
    ++report_.answered;
    report_.tokens += mix_.stream || !window_.measures(BootClock::now()) ? 0 : request.tokens;
    report_.total.add(since(request.planned));
}

PlainLoad::PlainLoad(EntryCaller &caller, const PlainMix &mix, PhaseWindow window,
                     RandomSource random, ClassReport &report)
    : caller_(caller)
    , mix_(mix)
    , window_(window)
    , random_(std::move(random))
    , report_(report)
    , keyPrefix_("load-" + std::to_string(BootClock::now().time_since_epoch().count()) + '-')
{
}

void PlainLoad::fire(MonotonicTime planned)
{
    const bool measured = window_.measures(planned);
    const bool once = uniformShare(random_) < mix_.onceShare;
    const std::string number = std::to_string(++lastNumber_);
    const std::string query = "n=" + number;
    HttpRequest http;
    http.method = once ? "POST" : "GET";
    http.target = (caller_.options().direct ? "" : "/services/" + mix_.service) + "/board?" + query;
    if (once) {
        http.headers.fields.push_back({"Idempotency-Key", keyPrefix_ + number});
        http.headers.fields.push_back({"Persimmonlb-Idempotent", "false"});
        http.body = "{\"accept\":" + number + "}";
    }
    const std::string body = http.body;
    report_.offered += measured ? 1 : 0;
    CallHooks hooks;
    hooks.end = [this, planned, measured, query, body](const CallEnd &end) {
        report_.retried += measured ? end.attempts - 1 : 0;
        if (!end.success()) {
            if (measured) {
                countFailure(report_, end);
            }
            return;
        }
        const AnswerVerdict verdict = checkPlainAnswer(end.body, query, body);
        countVerdict(report_, verdict, "plain answer of another call");
        if (verdict == AnswerVerdict::Whole && measured) {
            ++report_.answered;
            report_.total.add(since(planned));
        }
    };
    caller_.send(std::move(http), mix_.deadline, std::move(hooks));
}

} // namespace persimmonlb
