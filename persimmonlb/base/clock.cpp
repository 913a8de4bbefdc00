#include "persimmonlb/base/clock.h"

#include <ctime>
#include <memory>
#include <mutex>
#include <random>

#include "persimmonlb/base/slewedwallclock.h"

namespace persimmonlb
{

BootClock::time_point BootClock::now()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    const auto sinceBoot
        = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    return time_point(std::chrono::duration_cast<Microseconds>(sinceBoot));
}

namespace
{

struct SharedWallClock {
    std::mutex mutex;
    SlewedWallClock clock{[] { return BootClock::now(); },
                          [] {
                              return std::chrono::time_point_cast<Milliseconds>(
                                  std::chrono::system_clock::now());
                          }};
};

} // namespace

Clock systemClock()
{
    return Clock{
        .monotonic = [] { return BootClock::now(); },
        .wall =
            [shared = std::make_shared<SharedWallClock>()] {
                const std::lock_guard lock(shared->mutex);
                return shared->clock.now();
            },
    };
}

RandomSource systemRandom()
{
    std::random_device device;
    const std::uint64_t seed = (static_cast<std::uint64_t>(device()) << 32U) | device();
    return seededRandom(seed);
}

RandomSource seededRandom(std::uint64_t seed)
{
    auto engine = std::make_shared<std::mt19937_64>(seed);
    return [engine] {
        return (*engine)();
    };
}

} // namespace persimmonlb
