#pragma once

#include <cstdint>

#include "persimmonlb/base/error.h"
#include "persimmonlb/state/command.h"
#include "persimmonlb/state/query.h"
#include "persimmonlb/store/statestore.h"

namespace persimmonlb
{

/// The audit trail: numbered records without gaps, in the state store only. Texts are cut to a
/// bound. Deterministic; not thread-safe.
class AuditTrail
{
public:
    explicit AuditTrail(StateStore store);

    /// Gives the record the next sequence number and appends it.
    void append(AuditRecord record, MutationList &changes);

    /// Appends the records of an entry host. A batch that was taken before adds nothing; batches
    /// may come out of order by up to 64. Errors: NotInForce for an older incarnation.
    PlainReply appendBatch(const AppendAudit &command, MutationList &changes);

    /// Examines at most 20,000 records and gives at most 4 MiB of them; see AuditAnswer::more.
    [[nodiscard]] AuditAnswer list(const AuditQuery &query) const;

    /// Sequence number of the last record, or 0.
    [[nodiscard]] std::uint64_t last() const;

    Result<void> reload();

private:
    StateStore store_;
    std::uint64_t next_ = 1;
};

} // namespace persimmonlb
