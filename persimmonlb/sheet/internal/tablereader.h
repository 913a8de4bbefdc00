#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonlb/base/error.h"
#include "persimmonlb/base/toml.h"

namespace persimmonlb::internal
{

/// Reads the keys of one TOML table with checks. The first error is kept, later reads give
/// defaults; finish() reports it, or a key that nothing asked for.
///
/// Example:
///   TableReader reader(table, "service");
///   const std::string name = reader.name("name");
///   const std::uint64_t minReady = reader.integer("min_ready", 1, 0, 10000);
///   return reader.finish();
class TableReader
{
public:
    /// `where` names the table in messages. `table` must outlive the reader.
    TableReader(const toml::table &table, std::string where);

    /// A required name: 1 to 128 letters, digits, '.', '_' or '-'.
    std::string name(std::string_view key);
    /// Like name(), but may be missing: then empty.
    std::string optionalName(std::string_view key);
    /// One of `choices`, or `fallback` when missing; an empty fallback makes the key required.
    std::string choice(std::string_view key, const std::vector<std::string> &choices,
                       const std::string &fallback);
    /// A list of names; empty when missing.
    std::vector<std::string> names(std::string_view key);
    /// A required SHA-256 in lower-case hexadecimal digits.
    std::string sha256(std::string_view key);
    /// An integer in [least, most]; required without a fallback.
    std::uint64_t integer(std::string_view key, std::optional<std::uint64_t> fallback,
                          std::uint64_t least, std::uint64_t most);
    /// A number in [0, most]; required.
    double number(std::string_view key, double most);
    /// The tables of an array of tables; empty when missing.
    std::vector<const toml::table *> tables(std::string_view key);

    /// Adds an error at the line of `key`, or of the table when the key is missing.
    void refuse(std::string_view key, const std::string &problem);

    /// Errors: SheetMalformed.
    [[nodiscard]] Result<void> finish();

private:
    const toml::node *find(std::string_view key);
    std::optional<std::string> text(std::string_view key, bool required);

    const toml::table &table_;
    std::string where_;
    std::set<std::string, std::less<>> asked_;
    std::string error_;
};

} // namespace persimmonlb::internal
