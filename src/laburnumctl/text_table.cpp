#include "text_table.h"

#include <algorithm>

namespace laburnum::ctl {

namespace {

    constexpr std::size_t columnGap = 2;

    void appendRow(std::string& out, const TableRow& row, const std::vector<std::size_t>& widths)
    {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i];
            line.append(widths[i] - row[i].size() + columnGap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out += line + '\n';
    }

} // namespace

std::string renderTable(const TableRow& header, const std::vector<TableRow>& rows)
{
    std::vector<std::size_t> widths;
    for (std::size_t i = 0; i < header.size(); ++i) {
        widths.push_back(header[i].size());
        for (const auto& row : rows)
            widths.back() = std::max(widths.back(), row[i].size());
    }
    std::string out;
    appendRow(out, header, widths);
    for (const auto& row : rows)
        appendRow(out, row, widths);
    return out;
}

} // namespace laburnum::ctl
