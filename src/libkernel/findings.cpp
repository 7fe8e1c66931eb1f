#include <laburnumroute/findings.h>

#include <algorithm>
#include <tuple>

namespace laburnum {

std::string formatFinding(const Finding& finding)
{
    const char* severity = finding.severity == Severity::Error ? "error" : "warning";
    return finding.location.file + ':' + std::to_string(finding.location.line) + ':'
        + std::to_string(finding.location.column) + ": " + severity + ": " + finding.message;
}

void Findings::error(SourceLocation location, std::string message)
{
    m_items.push_back({ std::move(location), Severity::Error, std::move(message) });
}

void Findings::warning(SourceLocation location, std::string message)
{
    m_items.push_back({ std::move(location), Severity::Warning, std::move(message) });
}

std::vector<Finding> Findings::sorted() const
{
    std::vector<Finding> result = m_items;
    std::stable_sort(result.begin(), result.end(), [](const Finding& a, const Finding& b) {
        return std::tie(a.location.file, a.location.line, a.location.column)
            < std::tie(b.location.file, b.location.line, b.location.column);
    });
    return result;
}

bool Findings::hasErrors() const noexcept
{
    return std::any_of(m_items.begin(), m_items.end(),
        [](const Finding& finding) { return finding.severity == Severity::Error; });
}

} // namespace laburnum
