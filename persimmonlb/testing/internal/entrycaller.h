#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/http/client.h"

namespace persimmonlb
{

/// Who calls, and where the calls go.
struct CallerOptions {
    std::vector<std::string> hosts; ///< Entry hosts to ask for the directory first.
    bool direct = false; ///< `hosts` are backend servers; there is no directory.
    std::string zone;
    std::string caller;
    std::string key;
};

/// How a call ended, after all attempts.
struct CallEnd {
    std::uint16_t status = 0; ///< 0: no answer.
    ResultCode transport = ResultCode::Ok; ///< How the exchange ended.
    std::string body; ///< Of an answer that is no success; of any answer when collected.
    std::uint32_t attempts = 0;

    [[nodiscard]] bool success() const;
};

/// Called on the io_context's thread: head and pieces of a successful answer, then the end.
struct CallHooks {
    std::function<void(const std::string &piece)> piece; ///< Empty: collects the body.
    std::function<void(const CallEnd &end)> end;
};

/// Calls the system as a caller does: takes entry hosts from the directory, keeps the answer for
/// its ttl, spreads calls over them, and goes to the next one only when the request surely was
/// not run. Not thread-safe.
class EntryCaller
{
public:
    EntryCaller(boost::asio::io_context &context, HttpClient &client, CallerOptions options,
                RandomSource random);
    ~EntryCaller();
    EntryCaller(const EntryCaller &) = delete;
    EntryCaller &operator=(const EntryCaller &) = delete;

    /// Starts a call. `deadline` bounds all its attempts together.
    void send(HttpRequest request, Milliseconds deadline, CallHooks hooks);
    /// Calls that have not ended.
    [[nodiscard]] std::size_t open() const;
    /// Drops every call that has not ended, without calling its hooks.
    void abandon();
    [[nodiscard]] const CallerOptions &options() const;

private:
    struct Call;
    using CallPtr = std::shared_ptr<Call>;

    void attempt(const CallPtr &call);
    void ended(const CallPtr &call, const HttpExchangeEnd &end);
    void refreshDirectory();
    void takeDirectory(const CallEnd &end, const std::string &body);
    [[nodiscard]] std::string nextHost();

    boost::asio::io_context &context_;
    HttpClient &client_;
    CallerOptions options_;
    RandomSource random_;
    std::vector<std::string> hosts_;
    std::size_t next_ = 0;
    boost::asio::steady_timer refresh_;
    std::uint64_t lastCall_ = 0;
    std::map<std::uint64_t, CallPtr> calls_;
    std::unique_ptr<HttpExchange> directory_;
};

/// Result code in the body of a refusal; 0 when it holds none.
std::uint16_t refusalCode(const std::string &body);

} // namespace persimmonlb
