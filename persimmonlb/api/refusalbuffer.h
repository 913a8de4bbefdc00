#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"
#include "persimmonlb/state/command.h"

namespace persimmonlb
{

/// Gathers an entry host's refusals for the audit trail and ships them in batches.
///
/// Up to `maxSingle` refusals of an interval keep a record each; beyond, they are counted per
/// caller and code, so that none is left out silently. A batch whose append failed is shipped again
/// under the same number. Not thread-safe.
class RefusalBuffer
{
public:
    using Append = std::function<void(const AppendAudit &, std::function<void(Outcome<Reply>)>)>;

    RefusalBuffer(Owner self, std::size_t maxSingle, Clock clock, Append append);

    void note(const std::string &who, const std::string &subject, const Error &error);

    /// Ships what gathered, unless a batch is under way. Call each second.
    void flush();

    /// Refusals not yet acknowledged by the control group.
    [[nodiscard]] std::size_t unshipped() const;

private:
    struct CountKey {
        std::string who;
        std::uint16_t code = 0;

        // NOLINTNEXTLINE(modernize-use-nullptr): reported falsely on a defaulted comparison
        auto operator<=>(const CountKey &) const = default;
    };

    void ship();

    Owner self_;
    std::size_t maxSingle_;
    Clock clock_;
    Append append_;
    std::vector<AuditRecord> records_;
    std::map<CountKey, std::uint64_t> counts_;
    std::optional<AppendAudit> shipping_;
    bool waiting_ = false;
    std::uint64_t nextBatch_ = 1;
};

} // namespace persimmonlb
