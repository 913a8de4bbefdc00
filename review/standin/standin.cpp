#include "standin.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace standin
{

namespace
{

const auto started = std::chrono::steady_clock::now();

bool parseAddress(const std::string &address, sockaddr_in &out)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    out = {};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    return inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr) == 1;
}

bool sameName(const std::string &left, const std::string &right)
{
    return strcasecmp(left.c_str(), right.c_str()) == 0;
}

bool readHeaders(Stream &stream, Message &message)
{
    std::string line;
    while (stream.readLine(line)) {
        if (line.empty()) {
            return true;
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) {
            return false;
        }
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') {
            ++value;
        }
        message.headers.emplace_back(line.substr(0, colon), line.substr(value));
    }
    return false;
}

bool readChunks(Stream &stream, Message &message, const std::function<void(const std::string &)> &piece)
{
    std::string line;
    while (stream.readLine(line)) {
        const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
        std::string bytes;
        if (size > 0 && !stream.readBytes(size, bytes)) {
            return false;
        }
        message.body += bytes;
        if (piece && !bytes.empty()) {
            piece(bytes);
        }
        if (!stream.readLine(line)) {
            return false;
        }
        if (size == 0) {
            return true;
        }
    }
    return false;
}

bool readBody(Stream &stream, Message &message, bool isResponse,
              const std::function<void(const std::string &)> &piece)
{
    if (sameName(message.header("Transfer-Encoding"), "chunked")) {
        return readChunks(stream, message, piece);
    }
    const std::string length = message.header("Content-Length");
    if (!length.empty()) {
        const bool whole = stream.readBytes(std::strtoul(length.c_str(), nullptr, 10), message.body);
        if (piece && !message.body.empty()) {
            piece(message.body);
        }
        return whole;
    }
    return !isResponse || stream.readToEnd(message.body);
}

} // namespace

// ---- time -------------------------------------------------------------------------------------

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - started)
        .count();
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(0, ms)));
}

void sleepUntil(std::int64_t ms)
{
    sleepMs(ms - nowMs());
}

std::uint64_t randomNumber()
{
    static std::mutex mutex;
    static std::mt19937_64 engine{std::random_device{}()};
    const std::lock_guard lock(mutex);
    return engine();
}

std::string randomId()
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(randomNumber()));
    return text;
}

// ---- record -----------------------------------------------------------------------------------

Record::Record(const std::string &path)
    : file_(std::fopen(path.c_str(), "w"))
{
}

Record::~Record()
{
    if (file_ != nullptr) {
        std::fclose(file_);
    }
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(mutex_);
    if (file_ != nullptr) {
        std::fprintf(file_, "%8.3f %s\n", static_cast<double>(nowMs()) / 1000, text.c_str());
        std::fflush(file_);
    }
}

// ---- connections ------------------------------------------------------------------------------

std::string Message::header(const std::string &name) const
{
    for (const auto &[known, value] : headers) {
        if (sameName(known, name)) {
            return value;
        }
    }
    return {};
}

Stream::~Stream()
{
    close();
}

void Stream::close()
{
    const int descriptor = descriptor_.exchange(-1);
    if (descriptor >= 0) {
        ::close(descriptor);
    }
}

void Stream::reset()
{
    const int descriptor = descriptor_;
    if (descriptor < 0) {
        return;
    }
    const linger now{1, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    // Wakes a thread that reads; the reset is sent when the last user closes.
    ::shutdown(descriptor, SHUT_RD);
}

void Stream::setTimeout(std::int64_t ms)
{
    const timeval limit{ms / 1000, (ms % 1000) * 1000};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(descriptor_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
}

bool Stream::write(const std::string &bytes)
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t size = ::send(descriptor_, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        written += static_cast<std::size_t>(size);
    }
    return true;
}

bool Stream::fill()
{
    char bytes[16384];
    const ssize_t size = ::recv(descriptor_, bytes, sizeof bytes, 0);
    if (size <= 0) {
        return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(size));
    return true;
}

bool Stream::readLine(std::string &line)
{
    while (true) {
        const std::size_t end = buffer_.find('\n');
        if (end != std::string::npos) {
            line = buffer_.substr(0, end);
            buffer_.erase(0, end + 1);
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            return true;
        }
        if (!fill()) {
            return false;
        }
    }
}

bool Stream::readBytes(std::size_t count, std::string &bytes)
{
    while (buffer_.size() < count) {
        if (!fill()) {
            bytes = buffer_;
            buffer_.clear();
            return false;
        }
    }
    bytes = buffer_.substr(0, count);
    buffer_.erase(0, count);
    return true;
}

bool Stream::readToEnd(std::string &bytes)
{
    while (fill()) {
    }
    bytes = buffer_;
    buffer_.clear();
    return true;
}

std::unique_ptr<Stream> dial(const std::string &address, std::int64_t timeoutMs)
{
    sockaddr_in target;
    if (!parseAddress(address, target)) {
        return nullptr;
    }
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto stream = std::make_unique<Stream>(descriptor);
    stream->setTimeout(timeoutMs);
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(descriptor, reinterpret_cast<sockaddr *>(&target), sizeof target) != 0) {
        return nullptr;
    }
    return stream;
}

Message exchange(Stream &stream, const Message &request, const std::string &host, std::int64_t timeoutMs,
                 const std::function<void(const std::string &)> &piece)
{
    Message answer;
    stream.setTimeout(timeoutMs);
    std::string bytes = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + host + "\r\n";
    for (const auto &[name, value] : request.headers) {
        bytes += name + ": " + value + "\r\n";
    }
    if (request.method != "GET" || !request.body.empty()) {
        bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    bytes += "\r\n" + request.body;
    if (!stream.write(bytes)) {
        answer.error = "the request could not be written";
        return answer;
    }
    std::string line;
    if (!stream.readLine(line)) {
        answer.error = std::string("no response: ") + (errno == EAGAIN ? "timeout" : "connection closed");
        return answer;
    }
    answer.status = line.size() > 9 ? std::atoi(line.c_str() + 9) : 0;
    if (!readHeaders(stream, answer)) {
        answer.error = "the head broke off";
        return answer;
    }
    answer.complete = readBody(stream, answer, true, piece);
    answer.error = answer.complete ? "" : "the body broke off";
    return answer;
}

Message call(const std::string &address, const Message &request, const std::string &host,
             std::int64_t timeoutMs, const std::function<void(const std::string &)> &piece)
{
    const auto stream = dial(address, std::min<std::int64_t>(timeoutMs, 1000));
    if (!stream) {
        Message answer;
        answer.error = "no connection";
        return answer;
    }
    return exchange(*stream, request, host, timeoutMs, piece);
}

std::string formatResponse(int status, const Headers &headers, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " x\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string formatResponseHead(int status, const Headers &headers)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " x\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string formatChunk(const std::string &bytes)
{
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

// ---- servers ----------------------------------------------------------------------------------

Listener::Listener(std::string address, Handler handler)
    : address_(std::move(address))
    , handler_(std::move(handler))
{
}

Listener::~Listener()
{
    crash();
}

bool Listener::start()
{
    sockaddr_in own;
    if (up_ || !parseAddress(address_, own)) {
        return false;
    }
    const int listening = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(listening, reinterpret_cast<sockaddr *>(&own), sizeof own) != 0 || ::listen(listening, 512) != 0) {
        ::close(listening);
        return false;
    }
    listening_ = listening;
    up_ = true;
    acceptor_ = std::thread([this, listening] { accept(listening); });
    return true;
}

void Listener::crash()
{
    if (!up_.exchange(false)) {
        return;
    }
    ::shutdown(listening_, SHUT_RDWR);
    {
        const std::lock_guard lock(mutex_);
        for (const auto &known : streams_) {
            if (const auto stream = known.lock()) {
                stream->reset();
            }
        }
        streams_.clear();
    }
    if (acceptor_.joinable() && acceptor_.get_id() != std::this_thread::get_id()) {
        acceptor_.join();
    }
    ::close(listening_);
}

void Listener::accept(int listening)
{
    while (up_) {
        const int descriptor = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            return;
        }
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const auto stream = std::make_shared<Stream>(descriptor);
        {
            const std::lock_guard lock(mutex_);
            std::erase_if(streams_, [](const auto &known) { return known.expired(); });
            streams_.push_back(stream);
        }
        std::thread([this, stream] { serve(stream); }).detach();
    }
}

void Listener::serve(const std::shared_ptr<Stream> &stream)
{
    while (up_) {
        Message request;
        std::string line;
        if (!stream->readLine(line)) {
            return;
        }
        std::istringstream words(line);
        words >> request.method >> request.target;
        if (!readHeaders(*stream, request) || !readBody(*stream, request, false, nullptr)
            || !handler_(request, *stream)) {
            return;
        }
    }
}

Link::Link(const std::string &own, std::string target)
    : own_(own)
    , target_(std::move(target))
{
}

Link::~Link()
{
    cut_ = false;
    if (up_.exchange(false)) {
        ::shutdown(listening_, SHUT_RDWR);
        acceptor_.join();
        ::close(listening_);
    }
}

bool Link::start()
{
    sockaddr_in own;
    parseAddress(own_, own);
    listening_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listening_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(listening_, reinterpret_cast<sockaddr *>(&own), sizeof own) != 0 || ::listen(listening_, 512) != 0) {
        return false;
    }
    up_ = true;
    acceptor_ = std::thread([this] {
        while (up_) {
            const int client = ::accept4(listening_, nullptr, nullptr, SOCK_CLOEXEC);
            if (client < 0) {
                return;
            }
            std::thread([this, client] { serve(client); }).detach();
        }
    });
    return true;
}

void Link::serve(int client)
{
    const auto waitWhileCut = [this] {
        while (cut_ && up_) {
            sleepMs(5);
        }
    };
    waitWhileCut();
    const auto upstream = dial(target_, 1000);
    Stream own(client);
    if (!upstream || !up_) {
        return;
    }
    upstream->setTimeout(30000);
    const auto pump = [&](int from, int to) {
        char bytes[16384];
        while (true) {
            const ssize_t size = ::recv(from, bytes, sizeof bytes, 0);
            waitWhileCut();
            if (size <= 0) {
                ::shutdown(to, SHUT_WR);
                return;
            }
            ::send(to, bytes, static_cast<std::size_t>(size), MSG_NOSIGNAL);
        }
    };
    std::thread back([&] { pump(upstream->descriptor(), client); });
    pump(client, upstream->descriptor());
    back.join();
}

Announcer::Announcer(Info info, std::vector<std::string> controls)
    : info_(std::move(info))
    , controls_(std::move(controls))
    , born_(unixMs())
{
}

Announcer::~Announcer()
{
    stop();
}

std::string Announcer::body(const std::string &state)
{
    const std::lock_guard lock(mutex_);
    std::ostringstream text;
    text << R"({"service":")" << info_.service << R"(","address":")" << info_.address
         << R"(","zone":"z-a","version":"v1","slots":)" << info_.slots << R"(,"state":")" << state
         << R"(","coldRemainingMs":0,"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"born":)"
         << born_ << R"(,"sequence":)" << ++sequence_ << "}";
    return text.str();
}

std::string Announcer::id()
{
    const std::lock_guard lock(mutex_);
    return info_.id;
}

void Announcer::renew(const std::string &id)
{
    const std::lock_guard lock(mutex_);
    info_.id = id;
    born_ = unixMs();
    sequence_ = 0;
}

void Announcer::start()
{
    if (!running_.exchange(true)) {
        thread_ = std::thread([this] { run(); });
    }
}

void Announcer::stop()
{
    running_ = false;
    if (thread_.joinable()) {
        thread_.join();
    }
}

void Announcer::run()
{
    constexpr std::int64_t heartbeatMs = 1200;
    std::size_t next = randomNumber() % controls_.size();
    while (running_) {
        const std::int64_t due = nowMs() + heartbeatMs;
        Message request{"PUT", "/persimmonlb/instances/" + id(), 0, {{"Content-Type", "application/json"}},
                        body("ready"), false, {}};
        for (std::size_t tries = 0; tries < controls_.size() && running_; ++tries) {
            const Message answer = call(controls_[next], request, controls_[next], 1000);
            if (answer.status >= 200 && answer.status < 300) {
                break;
            }
            next = (next + 1) % controls_.size();
        }
        while (running_ && nowMs() < due) {
            sleepMs(20);
        }
    }
}

// ---- processes --------------------------------------------------------------------------------

namespace
{

constexpr int meshPort = 20000;
constexpr int controlPort = 20001;
constexpr int callerPort = 20002;
constexpr int readinessPort = 20003;
constexpr int metricsPort = 20004;
constexpr int directoryPort = 20005;
constexpr int serverPort = 20010;

bool isFree(const std::string &address)
{
    sockaddr_in own;
    parseAddress(address, own);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const bool free = ::bind(descriptor, reinterpret_cast<sockaddr *>(&own), sizeof own) == 0;
    ::close(descriptor);
    return free;
}

} // namespace

Fleet::Fleet(std::string program, std::string work, Record &record)
    : program_(std::move(program))
    , work_(std::move(work))
    , record_(record)
{
    for (int tries = 0; tries < 100; ++tries) {
        net_ = "127." + std::to_string(30 + randomNumber() % 60) + "." + std::to_string(randomNumber() % 250) + ".";
        bool free = true;
        for (int host = 10; host < 16; ++host) {
            free = free && isFree(net_ + std::to_string(host) + ":" + std::to_string(meshPort));
        }
        if (free) {
            return;
        }
    }
}

Fleet::~Fleet()
{
    stopAll();
}

std::string Fleet::storeAddress(int number) const
{
    return net_ + std::to_string(10 + number);
}

std::string Fleet::entryAddress(int number) const
{
    return net_ + std::to_string(100 + number);
}

std::string Fleet::control(int store) const
{
    return storeAddress(store) + ":" + std::to_string(controlPort);
}

std::string Fleet::callers(int entry) const
{
    return entryAddress(entry) + ":" + std::to_string(callerPort);
}

std::string Fleet::directory(int entry) const
{
    return entryAddress(entry) + ":" + std::to_string(directoryPort);
}

std::string Fleet::serverAddress(int number) const
{
    return net_ + std::to_string(200 + number) + ":" + std::to_string(serverPort);
}

void Fleet::write(const std::string &name, const std::string &ip, bool store, bool mayForm)
{
    std::filesystem::create_directories(work_ + "/" + name);
    const auto listen = [&ip](bool used, int port) {
        return used ? "\"" + ip + ":" + std::to_string(port) + "\"" : std::string("\"\"");
    };
    // The template deploy/settings.toml.in, filled in.
    std::ofstream file(work_ + "/" + name + "/local.conf");
    file << "[host]\nip = \"" << ip << "\"\nname = \"" << name << "\"\nregion = \"r\"\n"
         << "availability_zone = \"z-a\"\ntakes_callers = " << (store ? "false" : "true")
         << "\nstores = " << (store ? "true" : "false") << "\ndata_folder = \"" << work_ << "/" << name
         << "/data\"\n\n[listen]\ncallers = " << listen(!store, callerPort)
         << "\ndirectory = " << listen(!store, directoryPort) << "\nreadiness = " << listen(!store, readinessPort)
         << "\ncontrol = " << listen(store, controlPort) << "\nmetrics = " << listen(true, metricsPort)
         << "\n\n[mesh]\nport = " << meshPort << "\nkey = \"persimmonlb fleet\"\n\n[fleet]\nseeds = [\""
         << control(0) << "\", \"" << control(1) << "\", \"" << control(2) << "\"]\nmay_form = "
         << (mayForm ? "true" : "false") << "\nlosses_borne = 1\nanswer_ttl_ms = 2000\nstop_grace_s = 8\n"
         << "results_kept_s = 120\n\n[log]\nlevel = \"info\"\n";
}

void Fleet::spawn(const std::string &name)
{
    const std::string settings = work_ + "/" + name + "/local.conf";
    const std::string output = work_ + "/" + name + ".log";
    const pid_t child = ::fork();
    if (child == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int file = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(file, 1);
        ::dup2(file, 2);
        ::execl(program_.c_str(), program_.c_str(), "--settings", settings.c_str(), nullptr);
        ::_exit(127);
    }
    processes_[name] = child;
    ends_.erase(name);
    record_.line("started " + name);
}

void Fleet::startStore(int number, bool mayForm)
{
    const std::string name = "store-" + std::to_string(number);
    write(name, storeAddress(number), true, mayForm);
    spawn(name);
}

void Fleet::startEntry(int number, bool mayForm)
{
    const std::string name = "entry-" + std::to_string(number);
    write(name, entryAddress(number), false, mayForm);
    spawn(name);
}

void Fleet::kill(const std::string &name)
{
    const auto found = processes_.find(name);
    if (found == processes_.end()) {
        return;
    }
    ::kill(found->second, SIGCONT);
    ::kill(found->second, SIGKILL);
    ::waitpid(found->second, nullptr, 0);
    processes_.erase(found);
    record_.line("killed " + name);
}

void Fleet::signal(const std::string &name, int number)
{
    const auto found = processes_.find(name);
    if (found != processes_.end()) {
        ::kill(found->second, number);
        record_.line("signal " + std::to_string(number) + " to " + name);
    }
}

void Fleet::removeDisk(const std::string &name)
{
    std::filesystem::remove_all(work_ + "/" + name + "/data");
    record_.line("removed the disk of " + name);
}

bool Fleet::isRunning(const std::string &name)
{
    return processes_.contains(name) && endOf(name).empty();
}

std::string Fleet::endOf(const std::string &name)
{
    const auto known = ends_.find(name);
    if (known != ends_.end()) {
        return known->second;
    }
    const auto found = processes_.find(name);
    int status = 0;
    if (found == processes_.end() || ::waitpid(found->second, &status, WNOHANG) != found->second) {
        return {};
    }
    processes_.erase(found);
    ends_[name] = WIFSIGNALED(status) ? std::string("signal ") + strsignal(WTERMSIG(status))
                                      : "exit " + std::to_string(WEXITSTATUS(status));
    record_.line(name + " ended by itself: " + ends_[name]);
    return ends_[name];
}

std::string Fleet::log(const std::string &name) const
{
    std::ifstream file(work_ + "/" + name + ".log");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void Fleet::stopAll()
{
    while (!processes_.empty()) {
        const std::string name = processes_.begin()->first;
        kill(name);
    }
}

// ---- operators --------------------------------------------------------------------------------

std::string configuration(int version, const std::string &routes, const std::string &services)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes + R"(],"services":[)" + services
        + R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

bool operatorCall(const std::vector<std::string> &addresses, const Message &request, std::int64_t forMs,
                  Message *answer)
{
    const std::int64_t end = nowMs() + forMs;
    std::size_t next = 0;
    while (nowMs() < end) {
        std::string address = addresses[next++ % addresses.size()];
        Message target = request;
        for (int redirects = 0; redirects < 3; ++redirects) {
            const Message got = call(address, target, address, 1000);
            if (answer != nullptr) {
                *answer = got;
            }
            if (got.status == 200) {
                return true;
            }
            const std::string location = got.header("Location");
            if (got.status != 307 || !location.starts_with("http://")) {
                break;
            }
            const std::size_t path = location.find('/', 7);
            address = location.substr(7, path - 7);
            target.target = location.substr(path);
        }
        sleepMs(100);
    }
    return false;
}

bool waitFor(std::int64_t forMs, const std::function<bool()> &condition)
{
    const std::int64_t end = nowMs() + forMs;
    while (!condition()) {
        if (nowMs() >= end) {
            return false;
        }
        sleepMs(50);
    }
    return true;
}

bool troubled()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

std::string temporaryFolder()
{
    const char *base = std::getenv("TMPDIR");
    std::string path = std::string(base == nullptr ? "/tmp" : base) + "/review-XXXXXX";
    return ::mkdtemp(path.data()) == nullptr ? std::string() : path;
}

} // namespace standin
