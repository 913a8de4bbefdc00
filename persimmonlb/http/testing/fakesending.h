#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "persimmonlb/http/client.h"

namespace persimmonlb::testing
{

/// An exchange that tells its test when the sender let go of it.
class FakeExchange : public HttpExchange
{
public:
    explicit FakeExchange(std::function<void()> closed)
        : closed_(std::move(closed))
    {
    }
    FakeExchange(const FakeExchange &) = delete;
    FakeExchange &operator=(const FakeExchange &) = delete;
    ~FakeExchange() override
    {
        closed_();
    }

    void pause() override
    {
    }
    void resume() override
    {
    }

private:
    std::function<void()> closed_;
};

/// One exchange with a server, played by a test through its hooks.
struct FakeSending {
    std::string address;
    HttpRequest request;
    Milliseconds deadline{0};
    HttpExchangeHooks hooks;
    bool closed = false; ///< The sender let go of it.
};

/// Remembers each sending in `sendings`, which must outlive the function.
inline HttpSend recordInto(std::vector<std::shared_ptr<FakeSending>> &sendings)
{
    return [&sendings](const std::string &address, HttpRequest request, Milliseconds deadline,
                       HttpExchangeHooks hooks) {
        auto sending = std::make_shared<FakeSending>();
        sending->address = address;
        sending->request = std::move(request);
        sending->deadline = deadline;
        sending->hooks = std::move(hooks);
        sendings.push_back(sending);
        return std::make_unique<FakeExchange>([sending] { sending->closed = true; });
    };
}

} // namespace persimmonlb::testing
