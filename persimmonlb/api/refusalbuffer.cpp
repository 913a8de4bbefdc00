#include "persimmonlb/api/refusalbuffer.h"

#include <utility>

namespace persimmonlb
{

namespace
{

constexpr std::size_t maxCountedKeys = 1000;
constexpr std::size_t maxTextBytes = 200;
constexpr std::string_view otherCallers = "(others)";

AuditRecord makeRecord(WallTime at, const std::string &who, std::uint16_t code)
{
    AuditRecord record;
    record.at = at;
    record.kind = "refusal";
    record.who = who.substr(0, maxTextBytes);
    record.code = code;
    return record;
}

} // namespace

RefusalBuffer::RefusalBuffer(Owner self, std::size_t maxSingle, Clock clock, Append append)
    : self_(std::move(self))
    , maxSingle_(maxSingle)
    , clock_(std::move(clock))
    , append_(std::move(append))
{
}

void RefusalBuffer::note(const std::string &who, const std::string &subject, const Error &error)
{
    const auto code = static_cast<std::uint16_t>(error.code);
    if (records_.size() < maxSingle_) {
        AuditRecord record = makeRecord(clock_.wall(), who, code);
        record.subject = subject.substr(0, maxTextBytes);
        record.detail = error.message.substr(0, maxTextBytes);
        records_.push_back(std::move(record));
        return;
    }
    CountKey key{who, code};
    if (counts_.size() >= maxCountedKeys && !counts_.contains(key)) {
        key.who = otherCallers;
    }
    ++counts_[key];
}

void RefusalBuffer::flush()
{
    if (waiting_) {
        return;
    }
    if (!shipping_) {
        if (records_.empty()) {
            return;
        }
        shipping_ = AppendAudit{self_, nextBatch_++, std::exchange(records_, {})};
        for (const auto &[key, count] : std::exchange(counts_, {})) {
            AuditRecord record = makeRecord(clock_.wall(), key.who, key.code);
            record.count = count;
            record.detail = "counted";
            shipping_->records.push_back(std::move(record));
        }
    }
    ship();
}

void RefusalBuffer::ship()
{
    waiting_ = true;
    append_(*shipping_, [this](const Outcome<Reply> &reply) {
        waiting_ = false;
        if (reply.ok()) {
            shipping_.reset();
        }
    });
}

std::size_t RefusalBuffer::unshipped() const
{
    return records_.size() + counts_.size() + (shipping_ ? shipping_->records.size() : 0);
}

} // namespace persimmonlb
