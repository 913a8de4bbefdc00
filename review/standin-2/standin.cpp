// Stand-ins for the scripts of review/6 to review/10: an HTTP client for one call, and a model server that follows the
// platform's protocol. Only the C++ library and POSIX sockets are used.
//
//   standin call METHOD IP:PORT TARGET [-H "Name: value"]... [-d FILE] [-t SECONDS]
//     Sends one request on a new connection. Prints the status (000 without an answer) and, on the next lines, the body.
//
//   standin engine --listen IP:PORT --id ID --service NAME --zone ZONE --controls IP:PORT,... [--slots N] [--memory-tokens N] [--events N]
//                  [--interval-ms N] [--endless-bytes N] [--fail STATUS --fail-percent N --fail-from N --fail-to N] --record FILE
//     A model server: registers itself, streams `--events` events to each request, resumes behind Last-Event-Id, refuses
//     what is larger than its memory as if it were full (503 with Not-Executed), and
//     answers `--fail-percent` of the requests that arrive between seconds `--fail-from` and `--fail-to` after its start
//     with STATUS, after it has read them whole and begun to work on them.
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace
{

using Clock = std::chrono::steady_clock;

std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

bool parseAddress(const std::string &text, sockaddr_in &address)
{
    const std::size_t colon = text.rfind(':');
    address = {};
    address.sin_family = AF_INET;
    if (colon == std::string::npos
        || inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1) {
        return false;
    }
    address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
    // Loopback addresses only.
    return (ntohl(address.sin_addr.s_addr) >> 24U) == 127;
}

bool sendAll(int socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

struct Message {
    std::string first; ///< Request or status line.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;

    std::string header(const std::string &name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
};

/// Reads messages from a socket one after the other.
class Reader
{
public:
    explicit Reader(int socket)
        : socket_(socket)
    {
    }

    /// False when the connection ended, or `until` passed, before the message was whole.
    bool read(Message &message, Clock::time_point until, bool isAnswer)
    {
        message = {};
        std::size_t end = std::string::npos;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until)) {
                return false;
            }
        }
        std::istringstream head(buffer_.substr(0, end));
        buffer_.erase(0, end + 4);
        std::string line;
        while (std::getline(head, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            if (message.first.empty()) {
                message.first = line;
                continue;
            }
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            std::string name = line.substr(0, colon);
            for (char &letter : name) {
                letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
            }
            const std::size_t value = line.find_first_not_of(" \t", colon + 1);
            message.headers[name] = value == std::string::npos ? "" : line.substr(value);
        }
        if (strcasecmp(message.header("transfer-encoding").c_str(), "chunked") == 0) {
            return readChunks(message, until);
        }
        if (message.headers.count("content-length") > 0) {
            return take(message.body, std::strtoull(message.header("content-length").c_str(), nullptr, 10),
                        until);
        }
        if (isAnswer) {
            while (fill(until)) { }
            message.body = std::move(buffer_);
            buffer_.clear();
        }
        return true;
    }

private:
    bool fill(Clock::time_point until)
    {
        const auto left
            = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
        pollfd watched{socket_, POLLIN, 0};
        if (left <= 0 || poll(&watched, 1, static_cast<int>(left)) <= 0) {
            return false;
        }
        char bytes[16384];
        const ssize_t size = recv(socket_, bytes, sizeof bytes, 0);
        if (size <= 0) {
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(size));
        return true;
    }

    bool take(std::string &out, std::size_t size, Clock::time_point until)
    {
        while (buffer_.size() < size) {
            if (!fill(until)) {
                return false;
            }
        }
        out.append(buffer_, 0, size);
        buffer_.erase(0, size);
        return true;
    }

    bool readChunks(Message &message, Clock::time_point until)
    {
        while (true) {
            std::size_t end = std::string::npos;
            while ((end = buffer_.find("\r\n")) == std::string::npos) {
                if (!fill(until)) {
                    return false;
                }
            }
            const std::size_t size = std::strtoull(buffer_.c_str(), nullptr, 16);
            buffer_.erase(0, end + 2);
            std::string lineEnd;
            if (!take(message.body, size, until) || !take(lineEnd, 2, until)) {
                return false;
            }
            if (size == 0) {
                return true;
            }
        }
    }

    int socket_;
    std::string buffer_;
};

int connectTo(const std::string &address, Clock::time_point until)
{
    sockaddr_in peer{};
    if (!parseAddress(address, peer)) {
        return -1;
    }
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int error = connect(socket, reinterpret_cast<sockaddr *>(&peer), sizeof peer) == 0 ? 0 : errno;
    if (error == EINPROGRESS) {
        const auto left
            = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
        pollfd watched{socket, POLLOUT, 0};
        error = ETIMEDOUT;
        if (poll(&watched, 1, static_cast<int>(std::max<std::int64_t>(1, left))) > 0) {
            socklen_t size = sizeof error;
            getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
        }
    }
    if (error != 0) {
        close(socket);
        return -1;
    }
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    timeval timeout{10, 0};
    setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) & ~O_NONBLOCK);
    return socket;
}

/// One request on a new connection; 0 without a whole answer.
int callOnce(const std::string &method, const std::string &address, const std::string &target,
             const std::vector<std::string> &headers, const std::string &body, bool hasBody,
             double seconds, Message &answer)
{
    const auto until = Clock::now() + std::chrono::milliseconds(static_cast<int>(seconds * 1000));
    const int socket = connectTo(address, until);
    if (socket < 0) {
        return 0;
    }
    std::string request = method + " " + target + " HTTP/1.1\r\n";
    bool hasHost = false;
    for (const std::string &header : headers) {
        request += header + "\r\n";
        hasHost = hasHost || strncasecmp(header.c_str(), "host:", 5) == 0;
    }
    if (!hasHost) {
        request += "Host: " + address + "\r\n";
    }
    if (hasBody) {
        request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    request += "\r\n" + body;
    Reader reader(socket);
    const bool whole = sendAll(socket, request) && reader.read(answer, until, true);
    close(socket);
    return whole && answer.first.size() > 12 ? std::atoi(answer.first.c_str() + 9) : 0;
}

int runCall(int argc, char **argv)
{
    if (argc < 5) {
        return 2;
    }
    std::vector<std::string> headers;
    std::string body;
    bool hasBody = false;
    double seconds = 3;
    for (int i = 5; i + 1 < argc; i += 2) {
        const std::string option = argv[i];
        if (option == "-H") {
            headers.emplace_back(argv[i + 1]);
        } else if (option == "-d") {
            std::ifstream file(argv[i + 1], std::ios::binary);
            std::ostringstream text;
            text << file.rdbuf();
            body = text.str();
            hasBody = true;
            headers.emplace_back("Content-Type: application/json");
        } else if (option == "-t") {
            seconds = std::atof(argv[i + 1]);
        }
    }
    Message answer;
    const int status = callOnce(argv[2], argv[3], argv[4], headers, body, hasBody, seconds, answer);
    std::printf("%03d\n%s\n", status, status == 0 ? "" : answer.body.c_str());
    return status == 0 ? 1 : 0;
}

struct EngineOptions {
    std::string listen;
    std::string id;
    std::string service;
    std::string zone;
    std::vector<std::string> controls;
    int slots = 8;
    long memoryTokens = 72000;
    int events = 20;
    int intervalMs = 20;
    std::size_t endlessBytes = 0;
    int failStatus = 0;
    int failPercent = 0;
    double failFrom = 0;
    double failTo = 0;
    std::string record;
};

class Engine
{
public:
    explicit Engine(EngineOptions options)
        : options_(std::move(options))
        , born_(wallMs())
        , start_(Clock::now())
        , record_(options_.record, std::ios::app)
    {
    }

    int run()
    {
        sockaddr_in own{};
        if (!parseAddress(options_.listen, own)) {
            return 2;
        }
        const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        if (bind(listener, reinterpret_cast<sockaddr *>(&own), sizeof own) != 0
            || ::listen(listener, 256) != 0) {
            return 2;
        }
        std::thread([this] { registerForever(); }).detach();
        while (true) {
            const int socket = accept(listener, nullptr, nullptr);
            if (socket >= 0) {
                setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::thread([this, socket] { serve(socket); }).detach();
            }
        }
    }

private:
    void log(const std::string &line)
    {
        const std::lock_guard lock(mutex_);
        record_ << wallMs() << " " << options_.id << " " << line << std::endl;
    }

    void registerForever()
    {
        std::uint64_t sequence = 0;
        std::size_t next = 0;
        while (true) {
            const std::string body = "{\"service\":\"" + options_.service + "\",\"address\":\""
                + options_.listen + "\",\"zone\":\"" + options_.zone
                + "\",\"version\":\"v1\",\"slots\":" + std::to_string(options_.slots)
                + ",\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"both\",\"models\":[{\"name\":\"m\","
                  "\"version\":1,\"adapters\":[]}],\"sequence\":"
                + std::to_string(++sequence) + ",\"born\":" + std::to_string(born_) + "}";
            for (std::size_t tried = 0; tried < options_.controls.size(); ++tried) {
                Message answer;
                const int status
                    = callOnce("PUT", options_.controls[next % options_.controls.size()],
                               "/persimmonlb/instances/" + options_.id,
                               {"Content-Type: application/json"}, body, true, 1, answer);
                if (status >= 200 && status < 300) {
                    break;
                }
                ++next;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(1200));
        }
    }

    void serve(int socket)
    {
        Reader reader(socket);
        Message request;
        while (reader.read(request, Clock::now() + std::chrono::seconds(10), false)
               && answer(socket, request)) { }
        close(socket);
    }

    static bool respond(int socket, const std::string &status, const std::string &headers,
                        const std::string &body)
    {
        return sendAll(socket,
                       "HTTP/1.1 " + status + "\r\n" + headers
                           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    bool answer(int socket, const Message &request)
    {
        const std::string target = request.first.substr(0, request.first.rfind(' '));
        if (target == "GET /health") {
            return respond(socket, "200 OK", "Instance-Id: " + options_.id + "\r\n", "");
        }
        if (target == "GET /persimmonlb/report") {
            return respond(socket, "200 OK", "Content-Type: application/json\r\n",
                           "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                           "\"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":"
                               + std::to_string(running_)
                               + ",\"kvCacheUsed\":0,\"kvCacheTotal\":72000,\"handles\":0}");
        }
        if (target.rfind("POST ", 0) != 0 || target.find(" /persimmonlb/") != std::string::npos) {
            return respond(socket, "404 Not Found", "", "");
        }
        const std::string id = request.header("request-id");
        const std::string echo = "Request-Id: " + id + "\r\n";
        const std::string expected = request.header("expect-instance");
        if (!expected.empty() && expected != options_.id) {
            log("refuses " + id + " 421");
            return respond(socket, "421 Misdirected Request", echo + "Not-Executed: 1\r\n", "");
        }
        const std::string tokens = request.header("token-count");
        const std::size_t comma = tokens.find(',');
        const long size = std::atol(tokens.c_str())
            + (comma == std::string::npos ? 0 : std::atol(tokens.c_str() + comma + 1));
        if (size > options_.memoryTokens) {
            log("refuses " + id + " 503 larger than its memory");
            return respond(socket, "503 Service Unavailable", echo + "Not-Executed: 1\r\n", "");
        }
        if (running_ >= options_.slots) {
            log("refuses " + id + " 503 full");
            return respond(socket, "503 Service Unavailable", echo + "Not-Executed: 1\r\n", "");
        }
        ++running_;
        const bool stays = runRequest(socket, request, id, echo);
        --running_;
        return stays;
    }

    bool runRequest(int socket, const Message &request, const std::string &id,
                    const std::string &echo)
    {
        const std::string last = request.header("last-event-id");
        const double age = std::chrono::duration<double>(Clock::now() - start_).count();
        const bool inTrouble
            = options_.failStatus > 0 && age >= options_.failFrom && age < options_.failTo;
        log("runs " + id + " after " + (last.empty() ? "0" : last));
        if (inTrouble && static_cast<int>((counter_++ * 37) % 100) < options_.failPercent) {
            std::this_thread::sleep_for(std::chrono::milliseconds(options_.intervalMs));
            log("fails " + id + " " + std::to_string(options_.failStatus));
            return respond(socket, std::to_string(options_.failStatus) + " Failed",
                           echo + "Response-Signature: f." + options_.id + "." + id + "\r\n", "failed");
        }
        if (!sendAll(socket,
                     "HTTP/1.1 200 OK\r\n" + echo + "Response-Signature: s." + options_.id + "." + id
                         + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
            return false;
        }
        const std::string filling(options_.endlessBytes, 'x');
        for (int event = std::atoi(last.c_str()) + 1;
             event <= options_.events || options_.endlessBytes > 0; ++event) {
            std::this_thread::sleep_for(std::chrono::milliseconds(options_.intervalMs));
            pollfd watched{socket, POLLRDHUP, 0};
            const std::string text = "id: " + std::to_string(event) + "\ndata: " + id + "/"
                + std::to_string(event) + filling + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            if (poll(&watched, 1, 0) > 0 || !sendAll(socket, size + text + "\r\n")) {
                log("is cut off " + id + " at " + std::to_string(event));
                return false;
            }
        }
        log("ends " + id);
        return sendAll(socket, "0\r\n\r\n");
    }

    EngineOptions options_;
    std::int64_t born_;
    Clock::time_point start_;
    std::mutex mutex_;
    std::ofstream record_;
    std::atomic<int> running_{0};
    std::atomic<unsigned> counter_{0};
};

int runEngine(int argc, char **argv)
{
    EngineOptions options;
    for (int i = 2; i + 1 < argc; i += 2) {
        const std::string name = argv[i];
        const std::string value = argv[i + 1];
        if (name == "--listen") {
            options.listen = value;
        } else if (name == "--id") {
            options.id = value;
        } else if (name == "--service") {
            options.service = value;
        } else if (name == "--zone") {
            options.zone = value;
        } else if (name == "--controls") {
            std::istringstream list(value);
            for (std::string part; std::getline(list, part, ',');) {
                options.controls.push_back(part);
            }
        } else if (name == "--slots") {
            options.slots = std::atoi(value.c_str());
        } else if (name == "--memory-tokens") {
            options.memoryTokens = std::atol(value.c_str());
        } else if (name == "--events") {
            options.events = std::atoi(value.c_str());
        } else if (name == "--interval-ms") {
            options.intervalMs = std::atoi(value.c_str());
        } else if (name == "--endless-bytes") {
            options.endlessBytes = std::strtoull(value.c_str(), nullptr, 10);
        } else if (name == "--fail") {
            options.failStatus = std::atoi(value.c_str());
        } else if (name == "--fail-percent") {
            options.failPercent = std::atoi(value.c_str());
        } else if (name == "--fail-from") {
            options.failFrom = std::atof(value.c_str());
        } else if (name == "--fail-to") {
            options.failTo = std::atof(value.c_str());
        } else if (name == "--record") {
            options.record = value;
        } else {
            return 2;
        }
    }
    return Engine(std::move(options)).run();
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string mode = argc > 1 ? argv[1] : "";
    if (mode == "call") {
        return runCall(argc, argv);
    }
    if (mode == "engine") {
        return runEngine(argc, argv);
    }
    std::cerr << "usage: standin call|engine ...\n";
    return 2;
}
