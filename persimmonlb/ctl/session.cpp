#include "persimmonlb/ctl/session.h"

#include <array>
#include <cctype>
#include <cstdio>
#include <fstream>
#include <ostream>
#include <sstream>
#include <utility>

namespace persimmonlb
{

namespace
{

constexpr Milliseconds pollInterval{500};

std::string_view runText(RunState run)
{
    switch (run) {
    case RunState::NotRun:
        return "it was not run";
    case RunState::Ran:
        return "it ran";
    case RunState::Unknown:
        break;
    }
    return "whether it ran is not known";
}

} // namespace

Session::Session(const CtlOptions &options, std::string key, SessionHooks hooks,
                 std::ostream &output, std::ostream &errors)
    : options_(options)
    , key_(std::move(key))
    , hooks_(std::move(hooks))
    , output_(output)
    , errors_(errors)
{
}

const CtlOptions &Session::options() const
{
    return options_;
}

const std::vector<std::string> &Session::arguments() const
{
    return arguments_;
}

void Session::setArguments(std::vector<std::string> arguments)
{
    arguments_ = std::move(arguments);
}

std::ostream &Session::out() const
{
    return output_;
}

std::ostream &Session::err() const
{
    return errors_;
}

WallTime Session::now() const
{
    return hooks_.now();
}

ApiRequest Session::request(std::string method, std::string target, std::string body) const
{
    ApiRequest request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.body = std::move(body);
    auto &headers = request.headers.fields;
    if (!key_.empty()) {
        headers.push_back({"Authorization", "Bearer " + key_});
    }
    if (!options_.operatorName.empty()) {
        headers.push_back({"Persimmonlb-Operator", options_.operatorName});
    }
    if (!options_.caller.empty()) {
        headers.push_back({"Persimmonlb-Caller", options_.caller});
    }
    return request;
}

ApiRequest Session::change(std::string target, std::string body) const
{
    ApiRequest change = request("POST", std::move(target), std::move(body));
    change.changesState = true;
    return change;
}

ApiAnswer Session::call(const ApiRequest &request) const
{
    return hooks_.call(request);
}

ApiAnswer Session::stream(const ApiRequest &request,
                          std::function<void(const std::string &piece)> chunk) const
{
    return hooks_.stream(request, std::move(chunk));
}

ExitCode Session::finish(const ApiAnswer &answer, const std::string &advice,
                         const std::function<void(const std::string &body)> &print) const
{
    if (!answer.ok()) {
        return reportFailure(answer, advice);
    }
    if (options_.json) {
        output_ << answer.body << '\n';
    } else {
        print(answer.body);
    }
    return ExitCode::Ok;
}

ExitCode Session::reportFailure(const ApiAnswer &answer, const std::string &advice) const
{
    if (options_.json && answer.refusal) {
        output_ << answer.body << '\n';
    }
    if (answer.refusal) {
        const Refusal &refusal = *answer.refusal;
        errors_ << "refused: " << refusal.code << ' ' << refusal.name << ": " << refusal.message
                << " (" << runText(refusal.run) << ")\n";
    } else {
        errors_ << "no answer: " << answer.message << '\n';
    }
    if (answer.exit == ExitCode::NoHost) {
        errors_ << "No entry host could be reached; nothing was changed.\n";
    }
    if (answer.exit == ExitCode::OutcomeUnknown) {
        errors_ << "The outcome is not known: it may or may not have taken effect.\n"
                << advice << '\n';
    }
    return answer.exit;
}

ExitCode Session::usage(const std::string &message) const
{
    errors_ << "persimmonlbctl: " << message << '\n';
    return ExitCode::Usage;
}

bool Session::waitUntil(const std::function<bool(std::string &progress)> &attempt) const
{
    const WallTime start = hooks_.now();
    bool done = false;
    while (!done && hooks_.now() - start < options_.timeout) {
        std::string progress;
        done = attempt(progress);
        showProgress(hooks_.now() - start, progress);
        if (!done) {
            hooks_.sleep(pollInterval);
        }
    }
    if (hooks_.terminal) {
        errors_ << '\n';
    }
    return done;
}

void Session::showProgress(Milliseconds elapsed, const std::string &progress) const
{
    if (!hooks_.terminal) {
        return;
    }
    constexpr std::int64_t millisPerSecond = 1000;
    errors_ << "\r\033[K" << elapsed.count() / millisPerSecond << " s: " << progress << std::flush;
}

std::string urlEncode(const std::string &text)
{
    std::string encoded;
    for (const char byte : text) {
        const auto code = static_cast<unsigned char>(byte);
        if (std::isalnum(code) != 0 || byte == '-' || byte == '_' || byte == '.' || byte == '~') {
            encoded += byte;
            continue;
        }
        std::array<char, 4> escape{};
        std::snprintf(escape.data(), escape.size(), "%%%02X", static_cast<unsigned>(code));
        encoded += escape.data();
    }
    return encoded;
}

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        return std::nullopt;
    }
    return text.str();
}

} // namespace persimmonlb
