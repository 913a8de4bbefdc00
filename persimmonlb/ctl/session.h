#pragma once

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/ctl/exitcode.h"
#include "persimmonlb/ctl/failover.h"
#include "persimmonlb/ctl/options.h"

namespace persimmonlb
{

/// What a command needs of the world.
struct SessionHooks {
    /// Sends a request to the entry hosts, with failover.
    std::function<ApiAnswer(const ApiRequest &request)> call;
    /// The same; gets the pieces of a successful answer as they come.
    std::function<ApiAnswer(const ApiRequest &request,
                            std::function<void(const std::string &piece)> chunk)>
        stream;
    std::function<WallTime()> now;
    std::function<void(Milliseconds)> sleep;
    bool terminal = false; ///< Progress lines are shown on `errors`.
};

/// One run of one command: its options, output and requests.
class Session
{
public:
    /// The streams and `options` must outlive it.
    Session(const CtlOptions &options, std::string key, SessionHooks hooks, std::ostream &output,
            std::ostream &errors);

    [[nodiscard]] const CtlOptions &options() const;
    /// Arguments after the words that name the command.
    [[nodiscard]] const std::vector<std::string> &arguments() const;
    void setArguments(std::vector<std::string> arguments);
    [[nodiscard]] std::ostream &out() const;
    [[nodiscard]] std::ostream &err() const;
    [[nodiscard]] WallTime now() const;

    /// A request with the headers that identify the caller or operator.
    [[nodiscard]] ApiRequest request(std::string method, std::string target,
                                     std::string body = "") const;
    /// A request that changes state and may be sent again.
    [[nodiscard]] ApiRequest change(std::string target, std::string body) const;

    [[nodiscard]] ApiAnswer call(const ApiRequest &request) const;
    [[nodiscard]] ApiAnswer stream(const ApiRequest &request,
                                   std::function<void(const std::string &piece)> chunk) const;

    /// Prints a success by `print` (or as the server's JSON with --json), anything else as a
    /// failure. `advice` says how to go on when the outcome is not known.
    ExitCode finish(const ApiAnswer &answer, const std::string &advice,
                    const std::function<void(const std::string &body)> &print) const;
    /// Prints why `answer` is no success.
    ExitCode reportFailure(const ApiAnswer &answer, const std::string &advice) const;
    /// Prints a wrong argument or file.
    ExitCode usage(const std::string &message) const;

    /// Calls `attempt` until it returns true or the timeout is over; false then. `progress` is
    /// shown beside the time gone.
    bool waitUntil(const std::function<bool(std::string &progress)> &attempt) const;

private:
    void showProgress(Milliseconds elapsed, const std::string &progress) const;

    const CtlOptions &options_;
    std::string key_;
    SessionHooks hooks_;
    std::ostream &output_;
    std::ostream &errors_;
    std::vector<std::string> arguments_;
};

/// Percent-encodes everything but unreserved characters, for a query or a path segment.
std::string urlEncode(const std::string &text);

/// Reads a whole file; nothing when it cannot be read.
std::optional<std::string> readFile(const std::string &path);

} // namespace persimmonlb
