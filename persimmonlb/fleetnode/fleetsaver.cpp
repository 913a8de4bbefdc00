#include "persimmonlb/fleetnode/fleetsaver.h"

namespace persimmonlb
{

namespace
{

void callAll(const std::vector<std::function<void(bool kept)>> &waiting, bool kept)
{
    for (const auto &call : waiting) {
        call(kept);
    }
}

} // namespace

FleetSaver::FleetSaver(FleetSaverHooks hooks)
    : hooks_(std::move(hooks))
{
}

void FleetSaver::save(std::function<void(bool kept)> kept)
{
    if (proposing_ && proposedVersion_ == hooks_.version()) {
        proposed_.push_back(std::move(kept));
        return;
    }
    next_.push_back(std::move(kept));
    if (!proposing_) {
        propose();
    }
}

void FleetSaver::saveChanges()
{
    if (!proposing_) {
        propose();
    }
}

void FleetSaver::reset()
{
    ++leadership_;
    keptVersion_.reset();
    kept_.clear();
    proposing_ = false;
    Waiting failed = std::exchange(proposed_, {});
    for (auto &call : std::exchange(next_, {})) {
        failed.push_back(std::move(call));
    }
    callAll(failed, false);
}

void FleetSaver::propose()
{
    const SavedVersion version = hooks_.version();
    if (version == keptVersion_) {
        callAll(std::exchange(next_, {}), true);
        return;
    }
    std::string text = hooks_.encode();
    if (!kept_.empty() && text == kept_) {
        // What changed is not kept.
        keptVersion_ = version;
        callAll(std::exchange(next_, {}), true);
        return;
    }
    proposing_ = true;
    proposedVersion_ = version;
    proposed_ = std::exchange(next_, {});
    hooks_.propose(text, [this, leadership = leadership_, version, text](bool committed) {
        proposalEnded(leadership, version, text, committed);
    });
}

void FleetSaver::proposalEnded(std::uint64_t leadership, SavedVersion version, std::string text,
                               bool committed)
{
    if (leadership != leadership_) {
        return;
    }
    proposing_ = false;
    kept_ = committed ? std::move(text) : std::string();
    keptVersion_ = committed ? std::optional(version) : std::nullopt;
    callAll(std::exchange(proposed_, {}), committed);
    if (!next_.empty() && !proposing_) {
        propose();
    }
}

} // namespace persimmonlb
