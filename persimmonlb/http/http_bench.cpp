// Measures the HTTP modules on loopback, in one process: the load's connections, the server, a
// proxy of HttpServer and HttpClient, and its backend share one thread.
//
// Usage: http_bench direct|proxy|idle [CONNECTIONS] [REQUESTS]
#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <string>
#include <sys/resource.h>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "persimmonlb/http/client.h"
#include "persimmonlb/http/server.h"

namespace persimmonlb
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using SteadyClock = std::chrono::steady_clock;

const std::string requestBytes = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n"
                                 "Content-Type: application/json\r\nContent-Length: 200\r\n\r\n"
    + std::string(200, 'q');

double cpuSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    constexpr std::size_t pageBytes = 4096;
    return resident * pageBytes;
}

/// One connection that sends a request, waits for the whole answer, and again.
class LoadConnection : public std::enable_shared_from_this<LoadConnection>
{
public:
    LoadConnection(asio::io_context &context, std::uint16_t port, std::size_t &left,
                   std::vector<double> &latencies)
        : socket_(context)
        , left_(left)
        , latencies_(latencies)
    {
        socket_.connect({asio::ip::make_address("127.0.0.1"), port});
        socket_.set_option(tcp::no_delay(true));
    }

    void next()
    {
        if (left_ == 0) {
            return;
        }
        --left_;
        received_.clear();
        start_ = SteadyClock::now();
        asio::async_write(
            socket_, asio::buffer(requestBytes),
            [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
                if (!error) {
                    self->read();
                }
            });
    }

private:
    void read()
    {
        socket_.async_read_some(
            asio::buffer(buffer_),
            [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
                if (error) {
                    return;
                }
                self->received_.append(self->buffer_.data(), size);
                if (self->received_.find("whole answer") == std::string::npos) {
                    self->read();
                    return;
                }
                const std::chrono::duration<double, std::micro> taken
                    = SteadyClock::now() - self->start_;
                self->latencies_.push_back(taken.count());
                self->next();
            });
    }

    tcp::socket socket_;
    std::size_t &left_;
    std::vector<double> &latencies_;
    std::array<char, 4096> buffer_{};
    std::string received_;
    SteadyClock::time_point start_;
};

std::unique_ptr<HttpServer> listen(asio::io_context &context, HttpHandler handler)
{
    auto outcome = capture(
        [&] { return HttpServer::listen(context, "127.0.0.1:0", {}, std::move(handler)); });
    if (!outcome.ok()) {
        std::fprintf(stderr, "%s\n", outcome.error().message.c_str());
        std::exit(1);
    }
    return std::move(outcome.value());
}

/// Forwards each request to `backend` and streams the answer back as it comes.
HttpHandler makeProxy(HttpClient &client, std::string backend)
{
    return [&client, backend = std::move(backend)](
               HttpRequest request, const std::shared_ptr<HttpResponder> &responder) {
        auto keep = std::make_shared<std::unique_ptr<HttpExchange>>();
        *keep = client.start(
            backend, std::move(request), Milliseconds(10000),
            {.head = [responder](HttpResponseHead head) { responder->start(std::move(head)); },
             .chunk = [responder](std::string chunk) { responder->write(std::move(chunk), {}); },
             .end =
                 [responder, keep](const HttpExchangeEnd &) {
                     responder->finish();
                 }});
    };
}

void runLoad(asio::io_context &context, std::uint16_t port, std::size_t connections,
             std::size_t requests)
{
    std::vector<double> latencies;
    latencies.reserve(requests);
    std::size_t left = requests;
    std::vector<std::shared_ptr<LoadConnection>> load;
    for (std::size_t i = 0; i < connections; ++i) {
        load.push_back(std::make_shared<LoadConnection>(context, port, left, latencies));
    }
    const auto start = SteadyClock::now();
    const double cpuBefore = cpuSeconds();
    for (const auto &connection : load) {
        connection->next();
    }
    while (latencies.size() < requests) {
        context.run_one();
    }
    const std::chrono::duration<double> wall = SteadyClock::now() - start;
    const double cpu = cpuSeconds() - cpuBefore;
    std::ranges::sort(latencies);
    std::printf("connections=%zu requests=%zu wall_s=%.3f cpu_s=%.3f per_second=%.0f "
                "cpu_us_per_request=%.1f p50_us=%.1f p99_us=%.1f\n",
                connections, requests, wall.count(), cpu,
                static_cast<double>(requests) / wall.count(),
                cpu * 1e6 / static_cast<double>(requests), latencies[latencies.size() / 2],
                latencies[latencies.size() * 99 / 100]);
}

void measureIdle(asio::io_context &context, std::uint16_t port, std::size_t connections)
{
    std::vector<tcp::socket> sockets;
    sockets.reserve(connections);
    const std::size_t before = residentBytes();
    for (std::size_t i = 0; i < connections; ++i) {
        sockets.emplace_back(context);
        sockets.back().connect({asio::ip::make_address("127.0.0.1"), port});
        context.poll();
    }
    std::printf("idle connections=%zu resident_bytes_per_connection=%zu (client ends included)\n",
                connections, (residentBytes() - before) / connections);
}

} // namespace
} // namespace persimmonlb

int main(int argc, char **argv)
{
    using namespace persimmonlb;
    const std::string mode = argc > 1 ? argv[1] : "direct";
    const std::size_t connections = argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 32;
    const std::size_t requests = argc > 3 ? std::strtoul(argv[3], nullptr, 10) : 100000;
    asio::io_context context;
    const auto backend
        = listen(context, [](const HttpRequest &, const std::shared_ptr<HttpResponder> &responder) {
              responder->respond({.status = 200, .headers = {}, .body = "whole answer"});
          });
    const auto client = HttpClient::create(context, {});
    const auto proxy
        = listen(context, makeProxy(*client, "127.0.0.1:" + std::to_string(backend->port())));
    if (mode == "idle") {
        measureIdle(context, backend->port(), connections);
        return 0;
    }
    runLoad(context, mode == "proxy" ? proxy->port() : backend->port(), connections, requests);
    return 0;
}
