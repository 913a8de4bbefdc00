// A server deregisters and goes on serving for a while; the leader is killed a moment later. An announcement that the
// server sent before it deregistered arrives seconds late: the new leader takes the server back, and it gets requests
// long after its end was acknowledged.
#include <csignal>
#include <sstream>

#include "../standin/standin.h"

using namespace standin;

namespace
{

constexpr int servers = 3;
constexpr int slots = 8;
constexpr int clients = 9;
constexpr int events = 31;
constexpr int eventMs = 20;
constexpr const char *host = "ticket.example";
// Bounds of the site.
constexpr std::int64_t drainMs = 2000;
constexpr std::int64_t connectivityWindowMs = 3000;
// What happens, from the acknowledgement on.
constexpr std::int64_t killAfterMs = 500;
constexpr std::int64_t restartAfterMs = 1200;
constexpr std::int64_t lateMs = 3000; ///< "A heartbeat may arrive seconds late."
constexpr std::int64_t servesMs = 8000; ///< "drainMs [...] and a little longer (at times many seconds)"

/// An engine that streams `events` events to each request.
class Engine
{
public:
    Engine(std::string address, std::vector<std::string> controls, Record &record)
        : announcer({randomId(), "assistant-llm", address, slots}, std::move(controls))
        , listener_(address, [this](const Message &request, Stream &stream) { return serve(request, stream); })
        , record_(record)
    {
    }
    ~Engine()
    {
        announcer.stop();
        listener_.crash();
    }
    bool start()
    {
        return listener_.start();
    }
    void exit()
    {
        listener_.crash();
    }
    /// Moments at which requests arrived that were not turned away by 421.
    std::vector<std::int64_t> arrivals()
    {
        const std::lock_guard lock(mutex_);
        return arrivals_;
    }
    Announcer announcer;
    std::atomic<bool> logs{false}; ///< Writes each arrival to the record.

private:
    bool serve(const Message &request, Stream &stream)
    {
        const std::string id = announcer.id();
        const std::string requestId = request.header("Request-Id");
        if (request.target == "/health") {
            return stream.write(formatResponse(200, {{"Instance-Id", id}}, ""));
        }
        if (request.target == "/persimmonlb/report") {
            return stream.write(formatResponse(200, {{"Content-Type", "application/json"}},
                                               R"({"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],)"
                                               R"("busy":false,"sequence":0,"waiting":0,"running":)"
                                                   + std::to_string(running_)
                                                   + R"(,"kvCacheUsed":0,"kvCacheTotal":72000,"handles":0})"));
        }
        if (request.method != "POST" || request.target.starts_with("/persimmonlb/")) {
            return stream.write(formatResponse(404, {}, ""));
        }
        const Headers refusal = {{"Request-Id", requestId}, {"Not-Executed", "1"}};
        if (!request.header("Expect-Instance").empty() && request.header("Expect-Instance") != id) {
            return stream.write(formatResponse(421, refusal, ""));
        }
        {
            const std::lock_guard lock(mutex_);
            arrivals_.push_back(nowMs());
        }
        if (logs) {
            record_.line("request " + requestId + " reaches the server that left");
        }
        if (running_ >= slots) {
            return stream.write(formatResponse(503, refusal, ""));
        }
        ++running_;
        const bool whole = run(requestId, id, stream);
        --running_;
        if (!whole) {
            stream.reset();
        }
        return whole;
    }
    bool run(const std::string &requestId, const std::string &id, Stream &stream)
    {
        if (!stream.write(formatResponseHead(200, {{"Request-Id", requestId},
                                                   {"Response-Signature", "s." + id},
                                                   {"Content-Type", "text/event-stream"}}))) {
            return false;
        }
        for (int event = 1; event <= events; ++event) {
            sleepMs(eventMs);
            const std::string number = std::to_string(event);
            if (!listener_.isUp() || !stream.write(formatChunk("id: " + number + "\ndata: piece " + number + "\n\n"))) {
                return false;
            }
        }
        return stream.write("0\r\n\r\n");
    }

    Listener listener_;
    Record &record_;
    std::atomic<int> running_{0};
    std::mutex mutex_;
    std::vector<std::int64_t> arrivals_;
};

struct Counts {
    std::atomic<int> sent{0};
    std::atomic<int> whole{0};
    std::atomic<int> refused{0};
    std::atomic<int> failed{0};
    std::atomic<int> cut{0};
};

void runClient(const std::string &address, const std::atomic<bool> &ends, Counts &counts, Record &record)
{
    while (!ends) {
        const std::string id = randomId();
        const Message request{"POST",
                              "/ticket/1",
                              0,
                              {{"Request-Id", id},
                               {"Model", "m"},
                               {"Token-Count", "450,248"},
                               {"Prompt-Prefix", "5c1e07a2:100,91bd3f06:100," + id.substr(0, 8) + ":250"},
                               {"Deadline-Ms", "5000"}},
                              "note",
                              false,
                              {}};
        ++counts.sent;
        const Message answer = call(address, request, host, 6000);
        if (answer.status == 200 && answer.complete) {
            ++counts.whole;
            continue;
        }
        if (answer.status == 200) {
            ++counts.cut;
            record.line("the stream of request " + id + " is cut");
        } else if (answer.status == 503) {
            ++counts.refused;
        } else {
            ++counts.failed;
            record.line("request " + id + " ends with status " + std::to_string(answer.status) + " " + answer.error);
        }
        sleepMs(200);
    }
}

std::string field(const std::string &text, const std::string &name)
{
    const std::string mark = "\"" + name + "\":\"";
    const std::size_t begin = text.find(mark);
    return begin == std::string::npos ? std::string()
                                      : text.substr(begin + mark.size(),
                                                    text.find('"', begin + mark.size()) - begin - mark.size());
}

int leaderNumber(const Fleet &fleet)
{
    for (int asked = 0; asked < 3; ++asked) {
        const Message status
            = call(fleet.storeAddress(asked) + ":20004", {"GET", "/v1/fleet", 0, {}, "", false, {}}, "x", 1000);
        for (int known = 0; known < 3; ++known) {
            if (field(status.body, "leader") == fleet.storeAddress(known)) {
                return known;
            }
        }
    }
    return -1;
}

int play(Record &record, const std::string &work)
{
    Fleet fleet("target/bin/persimmonlb-node", work, record);
    std::vector<std::string> controls;
    for (int number = 0; number < 3; ++number) {
        fleet.startStore(number, true);
        controls.push_back(fleet.control(number));
    }
    fleet.startEntry(0, true);
    std::vector<std::unique_ptr<Engine>> engines;
    for (int number = 0; number < servers; ++number) {
        engines.push_back(std::make_unique<Engine>(fleet.serverAddress(number), controls, record));
        if (!engines.back()->start()) {
            record.line("a stand-in could not listen");
            return 2;
        }
    }
    const std::string routes
        = R"({"name":"repair-ticket","host":"ticket.example","pathPrefix":"/ticket/","kind":"streaming",)"
          R"("timeoutMs":5000,"targetLatencyMs":300,"priority":0,"service":"assistant-llm","maxAttempts":1,)"
          R"("sessionAffinity":true,"resumable":false,"gapAimMs":250})";
    const std::string services = R"({"name":"assistant-llm","healthCheckPath":"/health","maxConnections":390,)"
                                 R"("protocol":"h1","tls":false,"engine":{"slots":8,"kvCacheTokens":72000}})";
    const Message put{"PUT", "/persimmonlb/configuration", 0, {{"Content-Type", "application/json"}},
                      configuration(1, routes, services), false, {}};
    if (!operatorCall(controls, put, 20000)) {
        record.line("the configuration was not acknowledged");
        return 2;
    }
    for (const auto &engine : engines) {
        engine->announcer.start();
    }
    sleepMs(3000);
    Counts counts;
    std::atomic<bool> ends{false};
    std::vector<std::thread> threads;
    for (int number = 0; number < clients; ++number) {
        threads.emplace_back([&] { runClient(fleet.callers(0), ends, counts, record); });
    }
    record.line("traffic begins");
    sleepMs(4000);
    Engine &leaving = *engines.front();
    const std::string id = leaving.announcer.id();
    const int leader = leaderNumber(fleet);
    if (leader < 0 || leaving.arrivals().empty()) {
        record.line("no leader, or no request was served");
        return 2;
    }
    // The last announcement is sent, and held up on its way.
    leaving.announcer.stop();
    const Message late{"PUT", "/persimmonlb/instances/" + id, 0, {{"Content-Type", "application/json"}},
                       leaving.announcer.body("ready"), false, {}};
    record.line("server " + id + " sends an announcement that is held up for " + std::to_string(lateMs) + " ms");
    Message answer;
    const Message gone{"DELETE", "/persimmonlb/instances/" + id, 0, {}, "", false, {}};
    if (!operatorCall(controls, gone, 2000, &answer)) {
        record.line("the end of the server was not acknowledged");
        return 2;
    }
    const std::int64_t acknowledged = nowMs();
    record.line("server " + id + " has deregistered: 200");
    std::int64_t calmSince = 0;
    if (troubled()) {
        sleepUntil(acknowledged + killAfterMs);
        fleet.kill("store-" + std::to_string(leader));
        sleepUntil(acknowledged + restartAfterMs);
        fleet.startStore(leader, false);
        calmSince = nowMs();
    }
    sleepUntil(acknowledged + lateMs);
    const std::string arrivesAt = controls[static_cast<std::size_t>((leader + 1) % 3)];
    answer = call(arrivesAt, late, arrivesAt, 1000);
    record.line("the announcement arrives late: " + std::to_string(answer.status));
    const std::int64_t from = std::max(acknowledged + drainMs, calmSince + connectivityWindowMs) + 200;
    sleepUntil(from);
    leaving.logs = true;
    sleepUntil(acknowledged + servesMs);
    leaving.exit();
    record.line("server " + id + " exits");
    sleepMs(1000);
    ends = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    int tooLate = 0;
    for (const std::int64_t at : leaving.arrivals()) {
        tooLate += at >= from ? 1 : 0;
    }
    std::ostringstream text;
    text << "sent " << counts.sent << ", whole " << counts.whole << ", refused " << counts.refused << ", failed "
         << counts.failed << ", cut " << counts.cut << "; " << tooLate << " requests reached the server from "
         << from - acknowledged << " ms after its end was acknowledged on";
    record.line(text.str());
    record.line(tooLate > 0 ? "BROKEN: a server that had deregistered got requests" : "held");
    return tooLate > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Record record(std::string(argc > 1 ? argv[1] : ".") + "/record.txt");
    const std::string work = temporaryFolder();
    const int code = play(record, work);
    if (std::getenv("KEEP") == nullptr) {
        std::ignore = std::system(("rm -rf " + work).c_str());
    } else {
        std::printf("%s\n", work.c_str());
    }
    return code;
}
