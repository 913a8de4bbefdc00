#include "persimmonlb/ctl/httpcall.h"

#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>

namespace persimmonlb
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Json = nlohmann::json;

namespace
{

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr unsigned httpVersion = 11;
constexpr std::uint64_t maxAnswerBytes = 1024ULL * 1024 * 1024;
constexpr std::size_t pieceBytes = std::size_t{16} * 1024;

using WireRequest = http::request<http::string_body>;
using Parser = http::response_parser<http::buffer_body>;

std::optional<asio::ip::tcp::endpoint> parseEndpoint(const std::string &host)
{
    const auto colon = host.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(host.substr(0, colon), error);
    std::uint16_t port = 0;
    const char *end = host.data() + host.size();
    const auto parsed = std::from_chars(host.data() + colon + 1, end, port);
    if (error || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint(ip, port);
}

WireRequest toWire(const std::string &host, const ApiRequest &request)
{
    WireRequest wire;
    wire.version(httpVersion);
    wire.method_string(request.method);
    wire.target(request.target);
    wire.set(http::field::host, host);
    wire.set(http::field::connection, "close");
    for (const HttpHeader &header : request.headers.fields) {
        wire.set(header.name, header.value);
    }
    wire.body() = request.body;
    wire.prepare_payload();
    return wire;
}

/// The refusal in an answer that is no success.
Refusal readRefusal(std::uint16_t status, const std::string &body)
{
    Refusal refusal;
    refusal.message = "answer with HTTP status " + std::to_string(status);
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("error") || !json["error"].is_object()) {
        return refusal;
    }
    const Json &error = json["error"];
    refusal.code = error.value("code", std::uint16_t{0});
    refusal.name = error.value("name", "");
    refusal.message = error.value("message", refusal.message);
    const std::string run = error.value("run", "unknown");
    refusal.run = run == "not_run" ? RunState::NotRun
        : run == "ran"             ? RunState::Ran
                                   : RunState::Unknown;
    // Some releases name the hosts beside the error, others within it.
    const Json &holder = json.contains("hosts") ? json : error;
    for (const Json &host : holder.value("hosts", Json::array())) {
        if (host.is_string()) {
            refusal.hosts.push_back(host.get<std::string>());
        }
    }
    return refusal;
}

bool isSuccess(unsigned status)
{
    constexpr unsigned firstSuccess = 200;
    constexpr unsigned firstRedirect = 300;
    return status >= firstSuccess && status < firstRedirect;
}

class Call
{
public:
    Call(asio::io_context &context, const HttpCallOptions &options)
        : stream_(context)
        , options_(options)
    {
        parser_.body_limit(maxAnswerBytes);
    }

    asio::awaitable<void> run(asio::ip::tcp::endpoint endpoint, WireRequest request)
    {
        stream_.expires_after(options_.connectTimeout);
        const auto [connectError] = co_await stream_.async_connect(endpoint, asTuple);
        if (connectError) {
            attempt_.message = connectError.message();
            co_return;
        }
        attempt_.reach = Attempt::Reach::NoAnswer;
        stream_.expires_after(options_.timeout);
        const auto [writeError, written] = co_await http::async_write(stream_, request, asTuple);
        if (writeError) {
            attempt_.message = writeError.message();
            co_return;
        }
        const auto [headError, size]
            = co_await http::async_read_header(stream_, buffer_, parser_, asTuple);
        if (headError) {
            attempt_.message = headError.message();
            co_return;
        }
        attempt_.status = static_cast<std::uint16_t>(parser_.get().result_int());
        co_await readBody();
    }

    Attempt result()
    {
        if (attempt_.reach == Attempt::Reach::Answered && !isSuccess(attempt_.status)) {
            attempt_.refusal = readRefusal(attempt_.status, attempt_.body);
        }
        return std::move(attempt_);
    }

private:
    asio::awaitable<void> readBody()
    {
        std::array<char, pieceBytes> piece{};
        while (!parser_.is_done()) {
            parser_.get().body().data = piece.data();
            parser_.get().body().size = piece.size();
            if (options_.chunk) {
                stream_.expires_after(options_.timeout);
            }
            const auto [error, size]
                = co_await http::async_read_some(stream_, buffer_, parser_, asTuple);
            const bool failed = error && error != http::error::need_buffer;
            if (failed) {
                attempt_.message = error.message();
                co_return;
            }
            take(std::string(piece.data(), piece.size() - parser_.get().body().size));
        }
        attempt_.reach = Attempt::Reach::Answered;
    }

    void take(const std::string &piece)
    {
        if (options_.chunk && isSuccess(attempt_.status)) {
            options_.chunk(piece);
        } else {
            attempt_.body += piece;
        }
    }

    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    Parser parser_;
    const HttpCallOptions &options_;
    Attempt attempt_;
};

} // namespace

Attempt httpCall(const std::string &host, const ApiRequest &request, const HttpCallOptions &options)
{
    const auto endpoint = parseEndpoint(host);
    if (!endpoint) {
        Attempt attempt;
        attempt.message = "not an ip:port";
        return attempt;
    }
    asio::io_context context(1);
    Call call(context, options);
    asio::co_spawn(context, call.run(*endpoint, toWire(host, request)), asio::detached);
    context.run();
    return call.result();
}

} // namespace persimmonlb
