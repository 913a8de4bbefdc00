#include "persimmonlb/serving/answerwriter.h"

#include <utility>

#include "persimmonlb/http/errorbody.h"
#include "persimmonlb/serving/tokenstream.h"

namespace persimmonlb
{

AnswerWriter::AnswerWriter(std::shared_ptr<HttpResponder> responder, std::uint64_t maxUnwritten,
                           std::function<void(bool)> flow)
    : responder_(std::move(responder))
    , maxUnwritten_(maxUnwritten)
    , flow_(std::make_shared<Flow>())
{
    flow_->changed = std::move(flow);
}

void AnswerWriter::whole(HttpResponse response)
{
    if (state_ != State::Empty) {
        return;
    }
    state_ = State::Ended;
    responder_->respond(std::move(response));
}

void AnswerWriter::startChunks(HttpResponseHead head)
{
    if (state_ != State::Empty) {
        return;
    }
    state_ = State::Chunks;
    responder_->start(std::move(head));
}

void AnswerWriter::startEvents(HttpResponseHead head)
{
    if (state_ != State::Empty) {
        return;
    }
    state_ = State::Events;
    responder_->start(std::move(head));
}

void AnswerWriter::pass(std::string text)
{
    if (!started()) {
        return;
    }
    const std::uint64_t size = text.size();
    flow_->unwritten += size;
    if (!flow_->paused && flow_->unwritten > maxUnwritten_) {
        flow_->paused = true;
        flow_->changed(true);
    }
    responder_->write(std::move(text), [flow = flow_, size, most = maxUnwritten_] {
        flow->unwritten -= size;
        if (flow->paused && flow->unwritten <= most / 2) {
            flow->paused = false;
            flow->changed(false);
        }
    });
}

void AnswerWriter::finish()
{
    if (!started()) {
        return;
    }
    state_ = State::Ended;
    responder_->finish();
}

void AnswerWriter::fail(const Error &error, const std::vector<std::string> &otherHosts,
                        const std::string &requestId)
{
    switch (state_) {
    case State::Empty: {
        state_ = State::Ended;
        HttpResponse response = errorResponse(error, otherHosts);
        response.headers.fields.push_back({"Persimmonlb-Request-Id", requestId});
        responder_->respond(std::move(response));
        return;
    }
    case State::Events:
        pass(errorEvent(formatErrorBody(error, otherHosts)));
        finish();
        return;
    case State::Chunks:
        state_ = State::Ended;
        responder_->abort();
        return;
    case State::Ended:
        return;
    }
}

void AnswerWriter::close()
{
    state_ = State::Ended;
}

bool AnswerWriter::started() const
{
    return state_ == State::Chunks || state_ == State::Events;
}

bool AnswerWriter::ended() const
{
    return state_ == State::Ended;
}

} // namespace persimmonlb
