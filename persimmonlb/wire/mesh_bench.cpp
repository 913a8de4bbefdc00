// Measures the mesh on loopback: all hosts live in one process, each with its own mesh thread, and
// one decision thread drives them all.
//
// Usage: mesh_bench HOSTS MESSAGE_BYTES MESSAGES
// Each host sends MESSAGES / HOSTS messages, round robin to its peers.
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <sys/resource.h>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "persimmonlb/wire/mesh.h"

namespace persimmonlb
{
namespace
{

double cpuSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

struct Bench {
    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work
        = boost::asio::make_work_guard(context);
    std::vector<std::unique_ptr<Mesh>> meshes;
    std::size_t received = 0;
    std::size_t links = 0;

    static HostId hostId(std::size_t index)
    {
        return {"h" + std::to_string(100 + index)};
    }

    void addHost()
    {
        MeshOptions options;
        options.self = hostId(meshes.size());
        options.listenAddress = "127.0.0.1:0";
        options.sharedKey = "benchmark";
        MeshHooks hooks{.received = [this](const HostId &, const std::string &) { ++received; },
                        .connected = [this](const HostId &) { ++links; },
                        .disconnected = [this](const HostId &) { --links; },
                        .post =
                            [this](std::function<void()> function) {
                                boost::asio::post(context, std::move(function));
                            }};
        auto outcome = capture([&] { return Mesh::start(options, std::move(hooks)); });
        if (!outcome.ok()) {
            std::fprintf(stderr, "%s\n", outcome.error().message.c_str());
            std::exit(1);
        }
        meshes.push_back(std::move(outcome.value()));
    }

    void connectAll()
    {
        for (std::size_t from = 0; from < meshes.size(); ++from) {
            for (std::size_t to = 0; to < meshes.size(); ++to) {
                if (from == to) {
                    continue;
                }
                meshes[from]->addPeer(
                    {hostId(to), "127.0.0.1:" + std::to_string(meshes[to]->port())});
            }
        }
        while (links < meshes.size() * (meshes.size() - 1)) {
            context.run_one();
        }
    }

    void sendAll(std::size_t messages, const std::string &message)
    {
        constexpr std::size_t maxInFlight = 1000;
        const std::size_t hosts = meshes.size();
        std::size_t sent = 0;
        while (received < messages) {
            while (sent < messages && sent - received < maxInFlight) {
                const std::size_t from = sent % hosts;
                const std::size_t to = (from + 1 + (sent / hosts) % (hosts - 1)) % hosts;
                if (!meshes[from]->send(hostId(to), message)) {
                    break;
                }
                ++sent;
            }
            context.run_one();
            context.poll();
        }
    }
};

} // namespace
} // namespace persimmonlb

int main(int argc, char **argv)
{
    using namespace persimmonlb;
    const std::size_t hosts = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 3;
    const std::size_t bytes = argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 200;
    const std::size_t messages = argc > 3 ? std::strtoul(argv[3], nullptr, 10) : 100000;
    Bench bench;
    for (std::size_t i = 0; i < hosts; ++i) {
        bench.addHost();
    }
    bench.connectAll();
    const std::string message(bytes, 'm');
    const auto start = std::chrono::steady_clock::now();
    const double cpuBefore = cpuSeconds();
    bench.sendAll(messages, message);
    const std::chrono::duration<double> wall = std::chrono::steady_clock::now() - start;
    const double cpu = cpuSeconds() - cpuBefore;
    std::printf("hosts=%zu message_bytes=%zu messages=%zu wall_s=%.3f per_second=%.0f "
                "cpu_us_per_message=%.2f megabytes_per_second=%.0f\n",
                hosts, bytes, messages, wall.count(), static_cast<double>(messages) / wall.count(),
                cpu * 1e6 / static_cast<double>(messages),
                static_cast<double>(messages * bytes) / wall.count() / 1e6);
    return 0;
}
