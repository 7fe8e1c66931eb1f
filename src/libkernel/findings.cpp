#include <laburnumroute/findings.h>

#include <algorithm>
#include <tuple>

namespace laburnum {

std::string formatFinding(const Finding& finding)
{
    const char* severity = finding.severity == Severity::Error ? "error" : "warning";
    return finding.place.file + ':' + std::to_string(finding.place.line) + ':'
        + std::to_string(finding.place.column) + ": " + severity + ": " + finding.message;
}

void Findings::error(SourcePlace place, std::string message)
{
    m_items.push_back({ std::move(place), Severity::Error, std::move(message) });
}

void Findings::warning(SourcePlace place, std::string message)
{
    m_items.push_back({ std::move(place), Severity::Warning, std::move(message) });
}

std::vector<Finding> Findings::sorted() const
{
    std::vector<Finding> result = m_items;
    std::stable_sort(result.begin(), result.end(), [](const Finding& a, const Finding& b) {
        return std::tie(a.place.file, a.place.line, a.place.column)
            < std::tie(b.place.file, b.place.line, b.place.column);
    });
    return result;
}

bool Findings::hasErrors() const noexcept
{
    return std::any_of(m_items.begin(), m_items.end(),
        [](const Finding& finding) { return finding.severity == Severity::Error; });
}

} // namespace laburnum
