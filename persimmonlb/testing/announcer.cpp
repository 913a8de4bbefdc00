#include "persimmonlb/testing/internal/announcer.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
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

constexpr std::chrono::milliseconds announceInterval{1000};
constexpr std::chrono::milliseconds callTimeout{800};
constexpr std::size_t targetCount = 2;
constexpr unsigned httpVersion = 11;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

using Call = http::request<http::string_body>;

Call makeCall(http::verb method, const std::string &target, std::string body)
{
    Call call(method, target, httpVersion);
    call.set(http::field::host, "persimmonlb");
    call.set(http::field::content_type, "application/json");
    call.set(http::field::connection, "close");
    call.body() = std::move(body);
    call.prepare_payload();
    return call;
}

/// The body of a 200 answer, or nothing.
asio::awaitable<std::optional<std::string>> exchange(std::string address, Call call)
{
    const auto colon = address.rfind(':');
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address.substr(0, colon), error);
    if (error || colon == std::string::npos) {
        co_return std::nullopt;
    }
    const auto port = static_cast<std::uint16_t>(std::stoul("0" + address.substr(colon + 1)));
    boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(callTimeout);
    const auto [connectError]
        = co_await stream.async_connect(asio::ip::tcp::endpoint(ip, port), asTuple);
    if (connectError) {
        co_return std::nullopt;
    }
    const auto [writeError, written] = co_await http::async_write(stream, call, asTuple);
    if (writeError) {
        co_return std::nullopt;
    }
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    const auto [readError, size] = co_await http::async_read(stream, buffer, response, asTuple);
    if (readError || response.result() != http::status::ok) {
        co_return std::nullopt;
    }
    co_return std::move(response.body());
}

/// Host addresses in `{"hosts":[...]}`, whose elements are strings or objects with an address.
std::vector<std::string> readHosts(const std::string &body)
{
    std::vector<std::string> hosts;
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("hosts")) {
        return hosts;
    }
    for (const Json &host : json["hosts"]) {
        if (host.is_string()) {
            hosts.push_back(host.get<std::string>());
        } else if (host.is_object() && host.contains("address")) {
            hosts.push_back(host["address"].get<std::string>());
        }
    }
    return hosts;
}

} // namespace

Announcer::Announcer(asio::io_context &context, const FakeOptions &options,
                     std::function<FakeStatus()> status)
    : context_(context)
    , options_(options)
    , status_(std::move(status))
    , timer_(context)
    , targets_(options.entryHosts)
    , incarnation_(
          static_cast<std::uint64_t>(std::chrono::duration_cast<Microseconds>(
                                         std::chrono::system_clock::now().time_since_epoch())
                                         .count()))
{
}

asio::awaitable<void> Announcer::run()
{
    if (options_.entryHosts.empty()) {
        co_return;
    }
    while (!context_.stopped()) {
        timer_.expires_after(announceInterval);
        co_await announceToAll();
        co_await timer_.async_wait(asTuple);
    }
}

void Announcer::hurry()
{
    timer_.expires_at(std::chrono::steady_clock::now());
}

std::string Announcer::announcement()
{
    const FakeStatus status = status_();
    const double slots = std::max(options_.engine.slots, 1U);
    const double kvFree = std::max(0.0, 1.0 - status.load.running / slots);
    const Json json{
        {"server", options_.server},
        {"address", options_.listen},
        {"availability_zone", options_.zone},
        {"service", options_.service},
        {"kind", options_.plain ? "plain" : "engine"},
        {"state", status.leaving ? "leaving" : "ready"},
        {"model", status.model},
        {"version", status.version},
        {"adapters", status.adapters},
        {"role", status.role},
        {"checks_fencing", options_.checksFencing},
        {"slots", options_.engine.slots},
        {"load",
         {{"running", status.load.running}, {"queued", status.load.queued}, {"kv_free", kvFree}}},
        {"incarnation", incarnation_},
        {"sequence", ++sequence_}};
    return json.dump();
}

asio::awaitable<void> Announcer::announceToAll()
{
    const std::string body = announcement();
    std::vector<std::string> next;
    bool reached = false;
    const std::vector<std::string> targets = targets_;
    for (std::size_t i = 0; i < targets.size() && i < targetCount; ++i) {
        Call call = makeCall(http::verb::post, "/v1/announce", body);
        call.set(http::field::authorization, "Bearer " + options_.backendKey);
        const auto answer = co_await exchange(targets[i], std::move(call));
        if (!answer) {
            continue;
        }
        reached = true;
        if (next.empty()) {
            next = readHosts(*answer);
        }
    }
    if (!next.empty()) {
        targets_ = next;
    }
    if (!reached) {
        co_await askDirectory();
    }
}

asio::awaitable<void> Announcer::askDirectory()
{
    std::vector<std::string> known = options_.entryHosts;
    known.insert(known.end(), targets_.begin(), targets_.end());
    const std::string host = known[nextDirectory_++ % known.size()];
    const auto answer = co_await exchange(
        host, makeCall(http::verb::get, "/v1/entry-hosts?availability_zone=" + options_.zone, ""));
    std::vector<std::string> hosts = answer ? readHosts(*answer) : std::vector<std::string>{};
    if (hosts.empty()) {
        // Without an answer, go through the hosts it was started with.
        hosts = {options_.entryHosts[nextDirectory_ % options_.entryHosts.size()], host};
    }
    targets_ = std::move(hosts);
    timer_.expires_after(announceInterval / 4);
}

} // namespace persimmonlb
