#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/ids.h"

namespace persimmonlb
{

struct ParentChoiceOptions {
    /// A parent that answers no report for so long is left: four reports. Entry hosts must follow a
    /// change within two seconds, the shortest bound of our users.
    Milliseconds silence{1200};
    /// A parent that heard of no leader for so long is left. Longer than an election, so that not
    /// every host moves when a leader is lost.
    Milliseconds staleness{1500};
    /// A new parent must have heard of the leader, and said so, within this: one report and its
    /// reply. All storage hosts of a zone may be cut off together.
    Milliseconds proofTime{350};
    /// Parents that are tried for proofTime, one after the other. The next ones get the staleness,
    /// and twice the time of the one before up to longestTrial: when no host has word of a leader,
    /// the connections of a fleet that looks for one would keep the leader from telling it.
    std::uint32_t quickTrials = 4;
    Milliseconds longestTrial{6000};
    /// While trials are in vain the tiers take turns, so that a whole tier that is cut off or gone
    /// delays no other one. The first tier, for example the zone of this host, gets so many trials
    /// in each turn, the others one.
    std::uint32_t trialsOfTier = 2;
    /// A parent that was left is not chosen again for so long, while there are others. One that was
    /// tried in vain is not chosen again before all others were tried.
    Milliseconds rest{4000};
    /// After this a host goes back to a parent that it ranks higher, so that the load of a storage
    /// host that restarted spreads again.
    Milliseconds returnAfter{10000};
};

/// A storage host that may become the parent.
struct ParentCandidate {
    HostId host;
    /// Lower ones go first; those of one tier are ranked by a hash that differs from host to host.
    std::uint32_t tier = 0;
    /// As the parent it is not left at once for one of a better tier, while it has word of the
    /// leader: it is missing in a view that may have been made before the leader heard of it.
    bool isKeptWhileProven = false;

    bool operator==(const ParentCandidate &) const = default;
};

/// Chooses the host to which this one reports and from which it learns of changes, by rendezvous
/// hashing over the candidates that answer. Not thread-safe.
class ParentChoice
{
public:
    ParentChoice(ParentChoiceOptions options, HostId self, Clock clock);

    /// True when another parent was chosen.
    bool setCandidates(std::vector<ParentCandidate> candidates);
    /// The host answered a report; `age` is how old its own last word of the leader is.
    void heard(const HostId &host, Milliseconds age);
    /// The connection to a host was lost.
    void lost(const HostId &host);
    /// Something is known of the host that no trial could show, for example that it leads or can be
    /// reached: it may be chosen again although it was left lately, and its trial begins anew if it
    /// is the parent.
    void giveNewTrial(const HostId &host);
    /// True when another parent was chosen. Call each 20 ms or so.
    bool tick();

    /// Empty while there is no candidate.
    [[nodiscard]] const HostId &parent() const;

private:
    void leave();
    /// True when another parent was chosen.
    bool choose();
    /// The parent must show word of the leader from now on.
    void beginTrial();
    /// True if the host was left lately, or tried in vain since any parent had word of the leader.
    [[nodiscard]] bool isResting(const HostId &host) const;
    /// How often it was a tier's turn, while trials are in vain.
    [[nodiscard]] std::uint32_t turnsOf(std::uint32_t tier) const;
    /// The best candidate that does not rest; empty if all do.
    [[nodiscard]] HostId best() const;
    /// For how long the next parent is tried.
    [[nodiscard]] Milliseconds trialTime() const;
    /// True when the parent is of no use.
    [[nodiscard]] bool hasFailed() const;

    ParentChoiceOptions options_;
    HostId self_;
    Clock clock_;
    std::vector<ParentCandidate> givenCandidates_; ///< As given last.
    std::vector<ParentCandidate> candidates_; ///< Best first.
    std::map<HostId, MonotonicTime> restsUntil_;
    HostId parent_;
    MonotonicTime chosenAt_;
    MonotonicTime heardAt_;
    MonotonicTime leaderHeardAt_; ///< When the parent heard of the leader last.
    bool hasAnswered_ = false; ///< The parent, since it was chosen.
    bool isProven_ = false; ///< The parent had word of the leader since it was chosen.
    MonotonicTime trialEndsAt_; ///< Of a parent that is not proven.
    std::uint32_t vainTrials_ = 0; ///< Parents left since the last one with word of the leader.
    std::set<HostId> triedInVain_; ///< They.
    std::map<std::uint32_t, std::uint32_t> vainTrialsByTier_;
};

} // namespace persimmonlb
