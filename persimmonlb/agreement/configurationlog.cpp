#include "persimmonlb/agreement/internal/configurationlog.h"

#include <algorithm>
#include <utility>

namespace persimmonlb::internal
{

Result<void> ConfigurationLog::load(const SnapshotMark &mark, const std::vector<LogEntry> &entries)
{
    Record base{.index = mark.index, .configuration = {}};
    if (!mark.configuration.empty()) {
        BOOST_LEAF_ASSIGN(base.configuration, decodeConfiguration(mark.configuration));
    }
    records_.assign(1, base);
    for (const LogEntry &entry : entries) {
        BOOST_LEAF_CHECK(append(entry));
    }
    return {};
}

Result<void> ConfigurationLog::append(const LogEntry &entry)
{
    BOOST_LEAF_AUTO(configuration, decodeConfiguration(entry.data));
    records_.push_back({.index = entry.index, .configuration = std::move(configuration)});
    return {};
}

void ConfigurationLog::truncateFrom(std::uint64_t index)
{
    while (records_.size() > 1 && records_.back().index >= index) {
        records_.pop_back();
    }
}

void ConfigurationLog::compactTo(std::uint64_t index)
{
    while (records_.size() > 1 && records_[1].index <= index) {
        records_.erase(records_.begin());
    }
}

const Configuration &ConfigurationLog::latest() const
{
    return records_.back().configuration;
}

std::uint64_t ConfigurationLog::latestIndex() const
{
    return records_.back().index;
}

const Configuration &ConfigurationLog::at(std::uint64_t index) const
{
    const auto after = std::ranges::upper_bound(records_, index, {}, &Record::index);
    return after == records_.begin() ? records_.front().configuration
                                     : std::prev(after)->configuration;
}

} // namespace persimmonlb::internal
