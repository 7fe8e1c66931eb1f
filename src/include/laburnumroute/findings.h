/// Findings: problems in operators' input, collected with their location and reported together.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace laburnum {

enum class Severity { Warning, Error };

/// Location of a finding in a file. Lines and columns count from 1; 0 means the whole file.
struct SourceLocation {
    std::string file;
    std::size_t line = 0;
    std::size_t column = 0;
};

/// One problem.
struct Finding {
    SourceLocation location;
    Severity severity = Severity::Error;
    std::string message;
};

/// Formats `finding` as `FILE:LINE:COL: severity: message`.
std::string formatFinding(const Finding& finding);

/// Collects findings while the whole input is read.
class Findings {
public:
    void error(SourceLocation location, std::string message);
    void warning(SourceLocation location, std::string message);

    /// All findings in file order: by line, then column, then order of addition.
    std::vector<Finding> sorted() const;
    bool hasErrors() const noexcept;
    bool empty() const noexcept { return m_items.empty(); }

private:
    std::vector<Finding> m_items;
};

} // namespace laburnum
