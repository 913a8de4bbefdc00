#pragma once

#include <memory>
#include <string>
#include <utility>

#include "persimmonlb/http/client.h"

namespace persimmonlb::testing
{

/// One exchange with a server, played by a test through its hooks.
struct FakeSending {
    std::string address;
    HttpRequest request;
    HttpExchangeHooks hooks;
    bool closed = false; ///< The sender let go of it.
};

/// What the sender holds of a FakeSending.
class FakeExchange : public HttpExchange
{
public:
    explicit FakeExchange(std::shared_ptr<FakeSending> sending)
        : sending_(std::move(sending))
    {
    }
    FakeExchange(const FakeExchange &) = delete;
    FakeExchange &operator=(const FakeExchange &) = delete;
    ~FakeExchange() override
    {
        sending_->closed = true;
    }

    void pause() override
    {
    }
    void resume() override
    {
    }

private:
    std::shared_ptr<FakeSending> sending_;
};

} // namespace persimmonlb::testing
