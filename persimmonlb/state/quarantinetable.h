#pragma once

#include <map>
#include <string>
#include <vector>

#include "persimmonlb/base/error.h"
#include "persimmonlb/state/command.h"
#include "persimmonlb/state/query.h"
#include "persimmonlb/store/statestore.h"

namespace persimmonlb
{

/// One lost start of a backend server.
struct ServerLoss {
    ServerId server;
    std::uint64_t incarnation = 0;
    WallTime at;

    bool operator==(const ServerLoss &) const = default;
};

/// Which requests may crash backend servers, and which are convicted of it.
///
/// A request in flight on a lost server is a suspect. It is convicted for a period when it was in
/// flight on two different lost servers and nothing else explains the second loss as well: of
/// several requests with equally many losses each stays a suspect, until a later loss tells them
/// apart. Being alone on one lost server does not convict, since servers are also lost for reasons
/// of their own. Another start of the same server counts as a second loss only when the request
/// was alone there: a server that fails again and again convicts nobody else. A request that runs
/// to its end is cleared by release(), also of a conviction: that protects a body which many
/// callers send and which is therefore in flight wherever servers are lost. Evidence is kept for
/// an hour after the last loss; after a conviction has run out one more loss is enough.
///
/// Deterministic: holds no clock. Not thread-safe.
class QuarantineTable
{
public:
    /// What a report changed, for the audit trail.
    struct Changes {
        std::vector<std::string> convicted;
        std::vector<std::string> lifted; ///< Convictions taken back.
        bool suspectsChanged = false;
    };

    explicit QuarantineTable(StateStore store);

    Changes report(const ReportSuspects &command, MutationList &mutations);
    /// Takes a conviction and the evidence back. Returns false when there is neither.
    bool release(const std::string &fingerprint, MutationList &mutations);
    /// Drops convictions and evidence that have run out; true when there were any.
    bool expire(WallTime at, MutationList &mutations);

    [[nodiscard]] std::vector<Conviction> convictions() const;
    [[nodiscard]] std::vector<std::string> suspects() const;

    /// Errors: CorruptStore.
    Result<void> reload();

private:
    using Evidence = std::vector<ServerLoss>; ///< Different losses, oldest first.
    struct Sentence {
        WallTime until;
        Evidence evidence;
    };

    void addEvidence(const std::string &fingerprint, const ServerLoss &loss,
                     const ReportSuspects &command, Changes &changes, MutationList &mutations);
    void judge(const ServerLoss &loss, const ReportSuspects &command, Changes &changes,
               MutationList &mutations);
    void convict(const std::string &fingerprint, WallTime until, MutationList &mutations);
    void lift(const std::string &fingerprint, MutationList &mutations);
    void writeSuspect(const std::string &fingerprint, MutationList &mutations) const;
    void writeSentence(const std::string &fingerprint, MutationList &mutations) const;

    StateStore store_;
    std::map<std::string, Evidence> suspects_;
    std::map<std::string, Sentence> convictions_;
};

} // namespace persimmonlb
