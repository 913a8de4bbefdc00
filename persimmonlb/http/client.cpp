#include "persimmonlb/http/client.h"

#include <utility>

#include "persimmonlb/http/internal/clientexchange.h"

namespace persimmonlb
{

namespace
{

using internal::ClientExchange;
using internal::ClientShared;

class ExchangeHandle final : public HttpExchange
{
public:
    explicit ExchangeHandle(std::shared_ptr<ClientExchange> exchange)
        : exchange_(std::move(exchange))
    {
    }
    ExchangeHandle(const ExchangeHandle &) = delete;
    ExchangeHandle &operator=(const ExchangeHandle &) = delete;
    ~ExchangeHandle() override
    {
        exchange_->cancel();
    }

    void pause() override
    {
        exchange_->pause();
    }
    void resume() override
    {
        exchange_->resume();
    }

private:
    std::shared_ptr<ClientExchange> exchange_;
};

class PooledHttpClient final : public HttpClient
{
public:
    PooledHttpClient(boost::asio::io_context &context, HttpClientOptions options)
        : shared_(std::make_shared<ClientShared>(context, options))
    {
    }
    PooledHttpClient(const PooledHttpClient &) = delete;
    PooledHttpClient &operator=(const PooledHttpClient &) = delete;
    ~PooledHttpClient() override
    {
        shared_->pool->stop();
    }

    std::unique_ptr<HttpExchange> start(const std::string &address, HttpRequest request,
                                        Milliseconds deadline, HttpExchangeHooks hooks) override
    {
        auto exchange = std::make_shared<ClientExchange>(shared_, address, std::move(request),
                                                         std::move(hooks));
        exchange->start(deadline);
        return std::make_unique<ExchangeHandle>(std::move(exchange));
    }

private:
    std::shared_ptr<ClientShared> shared_;
};

} // namespace

std::unique_ptr<HttpClient> HttpClient::create(boost::asio::io_context &context,
                                               HttpClientOptions options)
{
    return std::make_unique<PooledHttpClient>(context, options);
}

HttpSend sendThrough(HttpClient &client)
{
    return [&client](const std::string &address, HttpRequest request, Milliseconds deadline,
                     HttpExchangeHooks hooks) {
        return client.start(address, std::move(request), deadline, std::move(hooks));
    };
}

} // namespace persimmonlb
