#include "persimmonlb/state/quarantinetable.h"

#include <algorithm>

#include "persimmonlb/state/commandfields.h"
#include "persimmonlb/state/keys.h"

namespace persimmonlb
{

namespace
{

constexpr Milliseconds evidenceLifetime{std::chrono::hours(1)};
constexpr std::size_t maxFingerprintsPerReport = 1000;
constexpr std::size_t maxLossesKept = 8;
constexpr std::size_t lossesToConvict = 2;

/// suspect/ and conviction/: evidence, and for a conviction its end.
struct QuarantineRecord {
    WallTime until;
    std::vector<ServerLoss> evidence;
};

template <typename Visitor, Like<QuarantineRecord> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("until", value.until);
    visitor("evidence", value.evidence);
}

/// The same start of the same server, whoever reported it and when.
bool hasLoss(const std::vector<ServerLoss> &evidence, const ServerLoss &loss)
{
    return std::ranges::any_of(evidence, [&loss](const ServerLoss &known) {
        return known.server == loss.server && known.incarnation == loss.incarnation;
    });
}

} // namespace

template <typename Visitor, Like<ServerLoss> Value>
void visitFields(Visitor &visitor, Value &value)
{
    visitor("server", value.server);
    visitor("incarnation", value.incarnation);
    visitor("at", value.at);
}

QuarantineTable::QuarantineTable(StateStore store)
    : store_(std::move(store))
{
}

void QuarantineTable::writeSuspect(const std::string &fingerprint, MutationList &mutations) const
{
    mutations.push_back(
        {keys::suspect(fingerprint),
         encodeFields(QuarantineRecord{.until = {}, .evidence = suspects_.at(fingerprint)})});
}

void QuarantineTable::writeSentence(const std::string &fingerprint, MutationList &mutations) const
{
    const Sentence &sentence = convictions_.at(fingerprint);
    mutations.push_back(
        {keys::conviction(fingerprint),
         encodeFields(QuarantineRecord{.until = sentence.until, .evidence = sentence.evidence})});
}

void QuarantineTable::convict(const std::string &fingerprint, WallTime until,
                              MutationList &mutations)
{
    convictions_[fingerprint]
        = Sentence{.until = until, .evidence = std::move(suspects_.at(fingerprint))};
    suspects_.erase(fingerprint);
    mutations.push_back({keys::suspect(fingerprint), std::nullopt});
    writeSentence(fingerprint, mutations);
}

/// Turns a conviction back into suspicion with the same evidence.
void QuarantineTable::lift(const std::string &fingerprint, MutationList &mutations)
{
    suspects_[fingerprint] = std::move(convictions_.at(fingerprint).evidence);
    convictions_.erase(fingerprint);
    mutations.push_back({keys::conviction(fingerprint), std::nullopt});
    writeSuspect(fingerprint, mutations);
}

void QuarantineTable::addEvidence(const std::string &fingerprint, const ServerLoss &loss,
                                  const ReportSuspects &command, Changes &changes,
                                  MutationList &mutations)
{
    const auto convicted = convictions_.find(fingerprint);
    Evidence &evidence
        = convicted != convictions_.end() ? convicted->second.evidence : suspects_[fingerprint];
    const bool sameServer
        = std::ranges::find(evidence, loss.server, &ServerLoss::server) != evidence.end();
    if (hasLoss(evidence, loss) || (sameServer && !command.alone)) {
        return;
    }
    evidence.push_back(loss);
    if (evidence.size() > maxLossesKept) {
        evidence.erase(evidence.begin());
    }
    if (convicted != convictions_.end()) {
        convicted->second.until = std::max(convicted->second.until, command.at + command.period);
        writeSentence(fingerprint, mutations);
        return;
    }
    changes.suspectsChanged = true;
    writeSuspect(fingerprint, mutations);
}

/// Convicts the request that explains `loss` better than every other, if there is one.
void QuarantineTable::judge(const ServerLoss &loss, const ReportSuspects &command, Changes &changes,
                            MutationList &mutations)
{
    std::map<std::size_t, std::vector<std::string>> byLosses;
    for (const auto &[fingerprint, evidence] : suspects_) {
        if (evidence.size() >= lossesToConvict && hasLoss(evidence, loss)) {
            byLosses[evidence.size()].push_back(fingerprint);
        }
    }
    for (const auto &[fingerprint, sentence] : convictions_) {
        if (hasLoss(sentence.evidence, loss)) {
            byLosses[sentence.evidence.size()].push_back(fingerprint);
        }
    }
    if (byLosses.empty()) {
        return;
    }
    const std::vector<std::string> &most = byLosses.rbegin()->second;
    if (most.size() == 1 && suspects_.contains(most.front())) {
        convict(most.front(), command.at + command.period, mutations);
        changes.convicted.push_back(most.front());
        changes.suspectsChanged = true;
        return;
    }
    for (const std::string &fingerprint : most) {
        if (most.size() > 1 && convictions_.contains(fingerprint)) {
            lift(fingerprint, mutations);
            changes.lifted.push_back(fingerprint);
        }
    }
}

QuarantineTable::Changes QuarantineTable::report(const ReportSuspects &command,
                                                 MutationList &mutations)
{
    Changes changes;
    const ServerLoss loss{
        .server = command.server, .incarnation = command.serverIncarnation, .at = command.at};
    const std::size_t count = std::min(command.fingerprints.size(), maxFingerprintsPerReport);
    for (std::size_t i = 0; i < count; ++i) {
        addEvidence(command.fingerprints[i], loss, command, changes, mutations);
    }
    judge(loss, command, changes, mutations);
    return changes;
}

bool QuarantineTable::release(const std::string &fingerprint, MutationList &mutations)
{
    const bool convicted = convictions_.erase(fingerprint) > 0;
    const bool suspected = suspects_.erase(fingerprint) > 0;
    if (convicted) {
        mutations.push_back({keys::conviction(fingerprint), std::nullopt});
    }
    if (suspected) {
        mutations.push_back({keys::suspect(fingerprint), std::nullopt});
    }
    return convicted || suspected;
}

bool QuarantineTable::expire(WallTime at, MutationList &mutations)
{
    std::vector<std::string> served;
    for (const auto &[fingerprint, sentence] : convictions_) {
        if (sentence.until <= at) {
            served.push_back(fingerprint);
        }
    }
    for (const std::string &fingerprint : served) {
        Sentence &sentence = convictions_.at(fingerprint);
        sentence.evidence.back().at = sentence.until;
        lift(fingerprint, mutations);
    }
    const auto old = std::erase_if(suspects_, [&](const auto &entry) {
        if (entry.second.back().at + evidenceLifetime >= at) {
            return false;
        }
        mutations.push_back({keys::suspect(entry.first), std::nullopt});
        return true;
    });
    return !served.empty() || old > 0;
}

std::vector<Conviction> QuarantineTable::convictions() const
{
    std::vector<Conviction> convictions;
    for (const auto &[fingerprint, sentence] : convictions_) {
        convictions.push_back({.fingerprint = fingerprint, .until = sentence.until});
    }
    return convictions;
}

std::vector<std::string> QuarantineTable::suspects() const
{
    std::vector<std::string> fingerprints;
    for (const auto &[fingerprint, evidence] : suspects_) {
        fingerprints.push_back(fingerprint);
    }
    return fingerprints;
}

Result<void> QuarantineTable::reload()
{
    suspects_.clear();
    convictions_.clear();
    bool sound = true;
    const auto read = [&](std::string_view prefix, const auto &take) {
        store_.scan(prefix, [&](std::string_view key, std::string_view value) {
            const auto record = decodeFields<QuarantineRecord>(value);
            sound = sound && record.ok() && !record.value().evidence.empty();
            if (sound) {
                take(std::string(key.substr(prefix.size())), record.value());
            }
            return sound;
        });
    };
    read(keys::suspectPrefix,
         [this](const std::string &fingerprint, const QuarantineRecord &record) {
             suspects_[fingerprint] = record.evidence;
         });
    read(keys::convictionPrefix,
         [this](const std::string &fingerprint, const QuarantineRecord &record) {
             convictions_[fingerprint]
                 = Sentence{.until = record.until, .evidence = record.evidence};
         });
    if (!sound) {
        return fail(ResultCode::CorruptStore, "the state store holds a bad quarantine record");
    }
    return {};
}

} // namespace persimmonlb
