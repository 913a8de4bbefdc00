#include "persimmonlb/http/internal/responder.h"

#include <functional>
#include <utility>

#include <boost/asio/post.hpp>

namespace persimmonlb::internal
{

namespace
{

namespace asio = boost::asio;

/// Forwards to the connection while that lives and still answers this request.
class Responder final : public HttpResponder
{
public:
    Responder(std::weak_ptr<ServerConnection> connection, std::uint64_t answer,
              std::shared_ptr<AnswerState> state, std::weak_ptr<ServerShared> shared)
        : connection_(std::move(connection))
        , answer_(answer)
        , state_(std::move(state))
        , shared_(std::move(shared))
    {
    }
    ~Responder() override
    {
        if (const auto connection = connection_.lock()) {
            connection->dropAnswer(answer_);
        }
    }

    void respond(HttpResponse response) override
    {
        if (const auto connection = connection_.lock()) {
            connection->respond(answer_, std::move(response));
        }
    }
    void start(HttpResponseHead head) override
    {
        if (const auto connection = connection_.lock()) {
            connection->startAnswer(answer_, head);
        }
    }
    void write(std::string chunk, std::function<void()> written) override
    {
        if (const auto connection = connection_.lock()) {
            connection->writeChunk(answer_, std::move(chunk), std::move(written));
        }
    }
    void finish() override
    {
        if (const auto connection = connection_.lock()) {
            connection->finishAnswer(answer_);
        }
    }
    void abort() override
    {
        if (const auto connection = connection_.lock()) {
            connection->abortAnswer(answer_);
        }
    }
    void onClosed(std::function<void()> closed) override
    {
        if (state_->callerGone) {
            postClosed(std::move(closed));
            return;
        }
        if (const auto connection = connection_.lock()) {
            connection->setClosedHook(answer_, std::move(closed));
        }
    }

private:
    /// The caller went away before the hook was set.
    void postClosed(std::function<void()> closed)
    {
        const auto shared = shared_.lock();
        if (!shared || !shared->handler) {
            return;
        }
        asio::post(shared->executor, [weakShared = shared_, closed = std::move(closed)] {
            const auto stillThere = weakShared.lock();
            if (stillThere && stillThere->handler) {
                closed();
            }
        });
    }

    std::weak_ptr<ServerConnection> connection_;
    std::uint64_t answer_;
    std::shared_ptr<AnswerState> state_;
    std::weak_ptr<ServerShared> shared_;
};

} // namespace

std::shared_ptr<HttpResponder> makeResponder(std::weak_ptr<ServerConnection> connection,
                                             std::uint64_t answer,
                                             std::shared_ptr<AnswerState> state,
                                             std::weak_ptr<ServerShared> shared)
{
    return std::make_shared<Responder>(std::move(connection), answer, std::move(state),
                                       std::move(shared));
}

} // namespace persimmonlb::internal
