/// Plain-text tables with columns as wide as their widest cell.
#pragma once

#include <string>
#include <vector>

namespace laburnum::ctl {

using TableRow = std::vector<std::string>;

/// Renders `rows` below `header`; every row must have as many cells as the header.
std::string renderTable(const TableRow& header, const std::vector<TableRow>& rows);

} // namespace laburnum::ctl
