#include <ostream>

#include <nlohmann/json.hpp>

#include "persimmonlb/ctl/commands.h"
#include "persimmonlb/ctl/eventreader.h"
#include "persimmonlb/ctl/internal/jsontext.h"

namespace persimmonlb
{

using Json = nlohmann::json;

namespace
{

const std::string repeatAdvice = "Repeat the command for a new answer.";

/// Text of the first choice, from its "message" (whole answer) or "delta" (streamed).
std::string contentOf(const std::string &body, const char *part)
{
    const Json answer = parseObject(body);
    const Json &choices = arrayOf(answer, "choices");
    if (choices.empty() || !choices[0].is_object() || !choices[0].contains(part)) {
        return "";
    }
    return textOf(choices[0][part], "content");
}

ApiRequest chatRequest(const Session &session)
{
    const CtlOptions &options = session.options();
    Json body{{"model", options.service},
              {"messages", {{{"role", "user"}, {"content", session.arguments().front()}}}},
              {"stream", options.stream}};
    if (options.maxTokens > 0) {
        body["max_tokens"] = options.maxTokens;
    }
    ApiRequest request = session.request("POST", "/v1/chat/completions",
                                         body.dump(-1, ' ', false, Json::error_handler_t::replace));
    request.idempotent = false;
    request.changesState = true;
    request.headers.fields.push_back({"Content-Type", "application/json"});
    return request;
}

ExitCode askStreamed(const Session &session)
{
    bool whole = false;
    std::string errorEvent;
    EventReader reader([&](const ServerEvent &event) {
        if (event.event == "error") {
            errorEvent = event.data;
        } else if (event.data == "[DONE]") {
            whole = true;
        } else {
            session.out() << contentOf(event.data, "delta") << std::flush;
        }
    });
    const ApiAnswer answer = session.stream(chatRequest(session),
                                            [&](const std::string &piece) { reader.feed(piece); });
    session.out() << '\n';
    if (!answer.ok()) {
        return session.reportFailure(answer, repeatAdvice);
    }
    if (whole && errorEvent.empty()) {
        return ExitCode::Ok;
    }
    session.err() << "The answer is not whole. " << errorEvent << '\n' << repeatAdvice << '\n';
    return ExitCode::OutcomeUnknown;
}

} // namespace

ExitCode ask(const Session &session)
{
    if (session.options().service.empty()) {
        return session.usage("ask needs --service NAME");
    }
    if (session.options().stream) {
        return askStreamed(session);
    }
    const ApiAnswer answer = session.call(chatRequest(session));
    return session.finish(answer, repeatAdvice, [&](const std::string &body) {
        session.out() << contentOf(body, "message") << '\n';
    });
}

} // namespace persimmonlb
