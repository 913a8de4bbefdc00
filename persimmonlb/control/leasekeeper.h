#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/sheet/sheet.h"
#include "persimmonlb/state/command.h"
#include "persimmonlb/state/query.h"
#include "persimmonlb/wire/message.h"

namespace persimmonlb
{

struct LeaseKeeperOptions {
    Owner self;
    std::string address;
    std::string meshAddress;
    AvailabilityZone availabilityZone;
    Region region;
    std::vector<HostId> controlHosts;
    Milliseconds interval{500}; ///< Between two requests.
};

struct LeaseKeeperHooks {
    std::function<bool(const HostId &to, PeerBody body)> send;
    std::function<void(std::function<void(Outcome<SheetAnswer>)>)> fetchSheet;
    std::function<void(std::function<void(Outcome<EntryStateAnswer>)>)> fetchEntryState;
    /// A sheet came into force here.
    std::function<void(std::shared_ptr<const Sheet>)> sheetChanged;
    /// Convictions, drains or cancellations changed.
    std::function<void(const EntryStateAnswer &)> entryStateChanged;
    /// The list of entry hosts changed.
    std::function<void(const std::vector<EntryHostInfo> &)> hostsChanged;
    /// Batch items of these services wait to be leased.
    std::function<void(const std::vector<ServiceName> &)> workWaits;
    /// An operator asked this host to drain or took that back.
    std::function<void(bool draining)> drainRequested;
};

/// An entry host's lease from the control group, with the sheet and the entry state that it must
/// have to hold one.
///
/// A grant prolongs the lease only when this host has the sheet and entry state that the grant
/// names, and it counts from the moment the request was sent. So a host that cannot be told of a
/// sheet stops being in force within one lease. Not thread-safe.
class LeaseKeeper
{
public:
    LeaseKeeper(LeaseKeeperOptions options, Clock clock, LeaseKeeperHooks hooks);

    /// Sends a request when one is due. Call every 50 ms or so.
    void tick();
    void receive(const HostId &from, const LeaseGrant &grant);

    /// True while this host holds a lease.
    [[nodiscard]] bool inForce() const;
    /// The sheet in force, or null before the first.
    [[nodiscard]] std::shared_ptr<const Sheet> sheet() const;
    [[nodiscard]] const EntryStateAnswer &entryState() const;
    [[nodiscard]] const std::vector<EntryHostInfo> &hosts() const;

    /// Tells the leader from the next request on that this host drains.
    void setDraining(bool draining);
    /// True once the leader knows that this host drains, or this host's lease has run out.
    [[nodiscard]] bool withdrawalKnown() const;
    /// Sends the last word of a planned stop.
    void announceStopped();
    /// True once the leader has confirmed announceStopped().
    [[nodiscard]] bool stopConfirmed() const;
    /// Asks for a fresh host list, with lease times and confirmed versions.
    /// Errors: PeerUnreachable when no leader answers within two seconds.
    void refreshHosts(std::function<void(Outcome<std::vector<EntryHostInfo>>)> done);

private:
    struct Waiter {
        std::uint64_t sequence = 0;
        MonotonicTime deadline;
        std::function<void(Outcome<std::vector<EntryHostInfo>>)> done;
    };

    void sendRequest(bool wantHosts);
    void chooseOtherTarget();
    void fetchWhatIsMissing(const LeaseGrant &grant);
    void takeSheet(const SheetAnswer &answer);
    void takeHosts(const LeaseGrant &grant);
    void expireWaiters();

    LeaseKeeperOptions options_;
    Clock clock_;
    LeaseKeeperHooks hooks_;
    HostId target_;
    std::size_t nextTarget_ = 0;
    std::uint64_t sequence_ = 0;
    std::map<std::uint64_t, MonotonicTime> sentAt_;
    MonotonicTime nextRequest_;
    MonotonicTime lastGrant_;
    MonotonicTime leaseEnd_;
    bool everGranted_ = false;
    std::shared_ptr<const Sheet> sheet_;
    EntryStateAnswer entryState_;
    bool fetchingSheet_ = false;
    bool fetchingEntryState_ = false;
    std::vector<EntryHostInfo> hosts_;
    std::uint64_t hostsVersion_ = 0;
    bool draining_ = false;
    std::uint64_t drainSequence_ = 0; ///< First request that said that this host drains.
    bool withdrawalKnown_ = false;
    bool drainRequested_ = false;
    bool stopped_ = false;
    bool stopConfirmed_ = false;
    std::vector<Waiter> waiters_;
};

} // namespace persimmonlb
