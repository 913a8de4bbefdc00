#pragma once

#include <memory>
#include <string>
#include <vector>

#include "persimmonlb/membership/servertable.h"
#include "persimmonlb/routing/quota.h"
#include "persimmonlb/routing/router.h"
#include "persimmonlb/routing/suspects.h"
#include "persimmonlb/serving/onlineservice.h"
#include "persimmonlb/serving/testing/fakes.h"

namespace persimmonlb
{

/// One entry host over the fakes.
class FakeEntry
{
public:
    FakeEntry(std::uint32_t number, VirtualTime &time, FakeLog &log, FakeFleet &fleet,
              std::shared_ptr<const Sheet> sheet);
    FakeEntry(const FakeEntry &) = delete;
    FakeEntry &operator=(const FakeEntry &) = delete;
    ~FakeEntry() = default;

    /// The process dies: nothing that it started calls back any more.
    void kill();

    Owner self;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    std::optional<Error> admission;
    std::vector<RequestEnd> ends;
    Milliseconds blockedFor{0}; ///< Of each request with shared parts.
    std::vector<RunVerdict> verdicts;
    ServerTable table;
    Router router;
    QuotaLimiter quota;
    Suspects suspects;
    OnlineService service;

private:
    OnlineHooks hooks(VirtualTime &time, FakeLog &log, FakeFleet &fleet,
                      std::shared_ptr<const Sheet> sheet);
    SuspectsHooks suspectsHooks(VirtualTime &time, FakeLog &log, FakeFleet &fleet);
};

/// Entry hosts, servers and a log in virtual time. Live servers announce to every entry each
/// second; entries read the entry state each half second.
class ServingBench
{
public:
    ServingBench(std::uint32_t entryCount, std::uint32_t serverCount, std::uint32_t slots = 8);
    ServingBench(const ServingBench &) = delete;
    ServingBench &operator=(const ServingBench &) = delete;
    ~ServingBench() = default;

    /// A chat request with this prompt.
    std::shared_ptr<FakeResponder> chat(std::size_t entry, const std::string &prompt,
                                        bool stream = false, HttpHeaders headers = {});
    /// A plain request that is not idempotent.
    std::shared_ptr<FakeResponder> once(std::size_t entry, const std::string &key,
                                        const std::string &body = "{}",
                                        const std::string &deadlineMs = "5000");
    void run(Milliseconds duration);
    /// Calls `fn` each `interval` until `end` from now.
    void repeat(Milliseconds interval, Milliseconds end, const std::function<void()> &fn);
    static std::string address(std::uint32_t server);
    [[nodiscard]] std::string fingerprint(const std::string &prompt, bool stream = false) const;

    VirtualTime time;
    FakeLog log{time};
    FakeFleet fleet{time};
    std::vector<std::unique_ptr<FakeEntry>> entries;

private:
    std::shared_ptr<FakeResponder> makeResponder();
    void announceAll();
    void tick();

    std::uint32_t serverCount_;
    std::uint32_t slots_;
    std::uint64_t sequence_ = 0;
    Milliseconds nextAnnounce_{0};
    Milliseconds nextFetch_{0};
};

} // namespace persimmonlb
