#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace persimmonlb
{

/// Changes with what is to be kept: versions of its two sources.
using SavedVersion = std::pair<std::uint64_t, std::uint64_t>;

struct FleetSaverHooks {
    std::function<SavedVersion()> version;
    /// What is to be kept now, as text.
    std::function<std::string()> encode;
    /// Writes a text to the replicated log. `done` is called once, perhaps at once; true: it is
    /// committed, and every later leader has it.
    std::function<void(std::string text, std::function<void(bool committed)> done)> propose;
};

/// Keeps what a leader must pass on to every later one in the replicated log, and says when it is
/// there. One text is on its way at a time, so that changes that come meanwhile travel together.
///
/// Example:
///   registry.serverGone(id);
///   saver.save([reply](bool kept) { reply(kept); });   // before the end is acknowledged
///
/// Not thread-safe; must outlive its proposals.
class FleetSaver
{
public:
    explicit FleetSaver(FleetSaverHooks hooks);

    /// Keeps the present state. `kept` is called once, perhaps at once: true when the log holds
    /// this state or a later one, false when that is not known.
    void save(std::function<void(bool kept)> kept);
    /// Like save(), without an answer. Call each 100 ms or so.
    void saveChanges();
    /// The leadership began or ended: nothing is known to be kept, and whoever waits is told so.
    void reset();

private:
    using Waiting = std::vector<std::function<void(bool kept)>>;

    void propose();
    void proposalEnded(std::uint64_t leadership, SavedVersion version, std::string text,
                       bool committed);

    FleetSaverHooks hooks_;
    std::uint64_t leadership_ = 0;
    std::optional<SavedVersion> keptVersion_;
    std::string kept_; ///< Empty: not known.
    bool proposing_ = false;
    SavedVersion proposedVersion_;
    Waiting proposed_; ///< Wait for the text that is on its way.
    Waiting next_; ///< Wait for a later one.
};

} // namespace persimmonlb
