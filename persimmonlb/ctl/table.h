#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace persimmonlb
{

constexpr std::size_t terminalColumns = 80;

/// Text table with a heading. The widest columns are shortened until a line fits.
///
/// Example:
///   Table table({"HOST", "ZONE"});
///   table.addRow({"entry-1", "ife-a"});
///   out << table.format(terminalColumns);
class Table
{
public:
    explicit Table(std::vector<std::string> heading);

    /// Cells that are missing are empty; those beyond the heading are dropped.
    void addRow(std::vector<std::string> cells);

    /// One line per row, none longer than `columns` (unless there are too many columns to fit).
    [[nodiscard]] std::string format(std::size_t columns) const;

private:
    [[nodiscard]] std::vector<std::size_t> widths(std::size_t columns) const;

    std::vector<std::vector<std::string>> rows_; // the heading first
};

} // namespace persimmonlb
