#include "persimmonlb/ctl/table.h"

#include <algorithm>
#include <numeric>
#include <string_view>
#include <utility>

namespace persimmonlb
{

namespace
{

constexpr std::size_t gap = 2;
constexpr std::size_t leastWidth = 4;
constexpr std::string_view ellipsis = "..";

/// Control bytes would break the table or the terminal.
std::string printable(std::string cell)
{
    std::replace_if(
        cell.begin(), cell.end(),
        [](char byte) { return static_cast<unsigned char>(byte) < ' ' || byte == 0x7f; }, ' ');
    return cell;
}

std::string shorten(const std::string &cell, std::size_t width)
{
    if (cell.size() <= width) {
        return cell;
    }
    return cell.substr(0, width - ellipsis.size()) + std::string(ellipsis);
}

} // namespace

Table::Table(std::vector<std::string> heading)
{
    rows_.push_back(std::move(heading));
}

void Table::addRow(std::vector<std::string> cells)
{
    cells.resize(rows_.front().size());
    std::transform(cells.begin(), cells.end(), cells.begin(), printable);
    rows_.push_back(std::move(cells));
}

std::vector<std::size_t> Table::widths(std::size_t columns) const
{
    std::vector<std::size_t> widths(rows_.front().size(), 0);
    for (const auto &row : rows_) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    const std::size_t gaps = gap * (widths.size() - 1);
    while (std::accumulate(widths.begin(), widths.end(), gaps) > columns) {
        const auto widest = std::max_element(widths.begin(), widths.end());
        if (*widest <= leastWidth) {
            break;
        }
        --*widest;
    }
    return widths;
}

std::string Table::format(std::size_t columns) const
{
    const std::vector<std::size_t> width = widths(columns);
    std::string text;
    for (const auto &row : rows_) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            std::string cell = shorten(row[i], width[i]);
            cell.resize(width[i] + gap, ' ');
            line += cell;
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + '\n';
    }
    return text;
}

} // namespace persimmonlb
