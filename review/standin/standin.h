// Stand-ins for the cases of this review: processes of the project under test, a small HTTP/1.1 client and
// server over blocking sockets, servers that register by PROTOCOL.md, and the record of a run.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace standin
{

/// Milliseconds of the steady clock since the start of the program.
std::int64_t nowMs();
/// Milliseconds of the time of day.
std::int64_t unixMs();
void sleepMs(std::int64_t ms);
void sleepUntil(std::int64_t ms); ///< In terms of nowMs().
std::uint64_t randomNumber();
std::string randomId(); ///< 16 hexadecimal digits.

/// Lines of `record.txt`, each with the time since the start.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    void line(const std::string &text);

private:
    std::mutex mutex_;
    FILE *file_;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Message {
    std::string method; ///< Of a request.
    std::string target;
    int status = 0; ///< Of a response; 0 when none was read.
    Headers headers;
    std::string body;
    bool complete = false; ///< A response was read to its end.
    std::string error;

    /// The value of a header, or an empty text.
    std::string header(const std::string &name) const;
};

/// A connection with a read buffer.
class Stream
{
public:
    explicit Stream(int descriptor)
        : descriptor_(descriptor)
    {
    }
    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;
    ~Stream();

    bool write(const std::string &bytes);
    bool readLine(std::string &line);
    bool readBytes(std::size_t count, std::string &bytes);
    bool readToEnd(std::string &bytes);
    void setTimeout(std::int64_t ms);
    void reset(); ///< Closes with a reset.
    void close();
    bool buffered() const
    {
        return !buffer_.empty();
    }
    int descriptor() const
    {
        return descriptor_;
    }

private:
    bool fill();

    std::atomic<int> descriptor_;
    std::string buffer_;
};

/// Connects; null on failure.
std::unique_ptr<Stream> dial(const std::string &address, std::int64_t timeoutMs);
/// Writes a request and reads its response. Each piece of a body is given to `piece` as it arrives.
Message exchange(Stream &stream, const Message &request, const std::string &host, std::int64_t timeoutMs,
                 const std::function<void(const std::string &)> &piece = nullptr);
/// The same on a connection of its own.
Message call(const std::string &address, const Message &request, const std::string &host,
             std::int64_t timeoutMs, const std::function<void(const std::string &)> &piece = nullptr);

/// Serves one address, a thread for each connection.
class Listener
{
public:
    /// Answers a request over the stream; false closes the connection.
    using Handler = std::function<bool(const Message &request, Stream &stream)>;

    Listener(std::string address, Handler handler);
    ~Listener();
    bool start();
    /// Stops listening and resets every connection, as a process that dies does.
    void crash();
    bool isUp() const
    {
        return up_;
    }

private:
    void accept(int listening);
    void serve(const std::shared_ptr<Stream> &stream);

    std::string address_;
    Handler handler_;
    std::atomic<bool> up_{false};
    int listening_ = -1;
    std::thread acceptor_;
    std::mutex mutex_;
    std::vector<std::weak_ptr<Stream>> streams_;
};

/// A link to an address. While it is cut, what is sent over it is held up; it arrives once the link is joined again, as
/// after a partition.
class Link
{
public:
    Link(const std::string &own, std::string target);
    ~Link();
    bool start();
    void setCut(bool cut)
    {
        cut_ = cut;
    }

private:
    void serve(int client);

    std::string own_;
    std::string target_;
    std::atomic<bool> cut_{false};
    std::atomic<bool> up_{false};
    int listening_ = -1;
    std::thread acceptor_;
};

std::string formatResponse(int status, const Headers &headers, const std::string &body);
std::string formatResponseHead(int status, const Headers &headers); ///< Of a chunked body.
std::string formatChunk(const std::string &bytes);

/// The hosts of a small deployment, as processes of target/bin/persimmonlb-node.
class Fleet
{
public:
    /// `program` runs a host; `work` is an empty folder.
    Fleet(std::string program, std::string work, Record &record);
    ~Fleet();

    std::string storeAddress(int number) const;
    std::string entryAddress(int number) const;
    std::string control(int store) const; ///< Address for servers and operators.
    std::string callers(int entry) const;
    std::string directory(int entry) const;
    std::string serverAddress(int number) const; ///< Free for a stand-in of a server.

    /// Starts store N or entry N; `mayForm` only at the first start of the fleet.
    void startStore(int number, bool mayForm);
    void startEntry(int number, bool mayForm);
    void kill(const std::string &name); ///< SIGKILL.
    void signal(const std::string &name, int number);
    void removeDisk(const std::string &name);
    bool isRunning(const std::string &name);
    /// How a process that nobody killed has ended, or empty.
    std::string endOf(const std::string &name);
    std::string log(const std::string &name) const;
    void stopAll();

private:
    void write(const std::string &name, const std::string &ip, bool store, bool mayForm);
    void spawn(const std::string &name);

    std::string program_;
    std::string work_;
    std::string net_;
    Record &record_;
    std::map<std::string, pid_t> processes_;
    std::map<std::string, std::string> ends_;
};

/// Routes and services of a small deployment, as an operator sends them.
std::string configuration(int version, const std::string &routes, const std::string &services);
/// Sends a call to any of the addresses until one answers 200, as operators do.
bool operatorCall(const std::vector<std::string> &addresses, const Message &request, std::int64_t forMs,
                  Message *answer = nullptr);
bool waitFor(std::int64_t forMs, const std::function<bool()> &condition);

/// Announces a server each 1.2 s until it is told to stop.
class Announcer
{
public:
    struct Info {
        std::string id;
        std::string service;
        std::string address;
        int slots = 0;
    };
    Announcer(Info info, std::vector<std::string> controls);
    ~Announcer();
    void start();
    void stop();
    /// The body of the next announcement.
    std::string body(const std::string &state);
    /// A new start of the server, under a new id.
    void renew(const std::string &id);
    std::string id();

private:
    void run();

    Info info_;
    std::vector<std::string> controls_;
    std::mutex mutex_;
    std::int64_t born_;
    std::uint64_t sequence_ = 0;
    std::atomic<bool> running_{false};
    std::thread thread_;
};

/// True unless TROUBLE=0 is set.
bool troubled();
/// Makes a temporary folder.
std::string temporaryFolder();

} // namespace standin
