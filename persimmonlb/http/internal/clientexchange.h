#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "persimmonlb/http/client.h"
#include "persimmonlb/http/internal/connectionpool.h"
#include "persimmonlb/http/internal/messageparser.h"

namespace persimmonlb::internal
{

/// What the exchanges of one client share.
struct ClientShared {
    static constexpr std::size_t scratchBytes = 64UL * 1024;

    ClientShared(boost::asio::io_context &ioContext, HttpClientOptions clientOptions)
        : context(ioContext)
        , options(clientOptions)
        , pool(std::make_shared<ConnectionPool>(ioContext, options))
    {
    }

    boost::asio::io_context &context;
    HttpClientOptions options;
    std::shared_ptr<ConnectionPool> pool;
    std::array<char, scratchBytes> scratch{}; ///< Input of the exchange that reads right now.
};

/// One request and its answer. Writes without blocking by hand, because only so it is known
/// exactly whether the kernel took a byte.
class ClientExchange : public std::enable_shared_from_this<ClientExchange>
{
public:
    ClientExchange(std::shared_ptr<ClientShared> shared, std::string address, HttpRequest request,
                   HttpExchangeHooks hooks);

    void start(Milliseconds deadline);
    void cancel();
    void pause();
    void resume();

private:
    using Socket = boost::asio::ip::tcp::socket;
    using ErrorCode = boost::system::error_code;
    using TimePoint = std::chrono::steady_clock::time_point;

    void obtainConnection();
    void connect();
    void connected(const ErrorCode &error);
    void armTimer(TimePoint when);
    void timerExpired();

    void writeRequest();
    void awaitOutput();
    void writeFailed(const ErrorCode &error);

    void awaitInput();
    void readAnswer(const ErrorCode &waitError);
    void takeInput(std::string_view bytes);
    bool parseOnce(std::string_view &bytes);
    bool takeInterim();
    bool deliver();
    void inputEnded(const ErrorCode &error);

    void complete();
    void failLater(ResultCode code, std::string message);
    void end(ResultCode code, std::string message);
    void broken(const std::string &message);
    void resetParser();

    [[nodiscard]] bool requestWritten() const;
    [[nodiscard]] ErrorCode connectionError();

    std::shared_ptr<ClientShared> shared_;
    std::string address_;
    HttpRequest request_;
    HttpExchangeHooks hooks_;
    Socket socket_;
    boost::asio::steady_timer timer_;
    TimePoint deadline_ = TimePoint::max();

    std::string head_; ///< Request line and fields as sent.
    std::size_t written_ = 0; ///< Bytes of head and body that the kernel took.
    ErrorCode writeError_; ///< Of a write after the first byte.
    std::optional<ResponseParser> parser_;
    std::string input_; ///< Received, not yet parsed.
    std::uint64_t headBytes_ = 0; ///< Parsed before the final head was complete.
    int interimCount_ = 0;

    bool pooled_ = false;
    bool connecting_ = false;
    bool awaitingInput_ = false;
    bool paused_ = false;
    bool headDelivered_ = false;
    bool insideHook_ = false;
    bool ended_ = false;
};

} // namespace persimmonlb::internal
