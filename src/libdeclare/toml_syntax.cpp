// Parses TOML with toml11 and turns its errors into findings; see toml_table.h.

#include <laburnumroute/toml_table.h>

#include <algorithm>
#include <sstream>

namespace laburnum {

namespace {

    constexpr std::string_view caret = "^---";

    /// Checks the nesting depth of brackets outside of strings and comments before the text is
    /// parsed.
    class DepthScanner {
    public:
        /// True when brackets nest deeper than maxTomlDepth; location() is that of the first such
        /// bracket.
        bool exceedsMaxDepth(std::string_view text)
        {
            return std::any_of(text.begin(), text.end(), [this](char c) { return feed(c); });
        }

        SourceLocation location(const std::string& file) const
        {
            return { file, m_line, m_column };
        }

    private:
        bool feed(char c)
        {
            ++m_column;
            if (c == '\n') {
                ++m_line;
                m_column = 0;
                m_comment = false;
            } else if (m_escaped) {
                m_escaped = false;
            } else if (m_quote != 0) {
                m_escaped = m_quote == '"' && c == '\\';
                m_quote = c == m_quote ? '\0' : m_quote;
            } else if (!m_comment) {
                return feedToken(c);
            }
            return false;
        }

        bool feedToken(char c)
        {
            if (c == '"' || c == '\'')
                m_quote = c;
            m_comment = c == '#';
            if (c == '[' || c == '{')
                ++m_depth;
            else if ((c == ']' || c == '}') && m_depth > 0)
                --m_depth;
            return m_depth > maxTomlDepth;
        }

        std::size_t m_line = 1;
        std::size_t m_column = 0;
        std::size_t m_depth = 0;
        char m_quote = '\0';
        bool m_escaped = false;
        bool m_comment = false;
    };

    std::vector<std::string> linesOf(const std::string& text)
    {
        std::vector<std::string> lines;
        std::istringstream stream(text);
        for (std::string line; std::getline(stream, line);)
            lines.push_back(line);
        return lines;
    }

    /// The first line of a toml11 error report without the prefix `[error]` and the function name.
    std::string headline(const std::vector<std::string>& report)
    {
        std::string line = report.empty() ? "not TOML" : report.front();
        for (const std::string_view decoration : { "[error] ", "toml::" }) {
            if (line.starts_with(decoration))
                line.erase(0, decoration.size());
        }
        const std::size_t colon = line.find(": ");
        const bool namesFunction = colon != std::string::npos && line.find(' ') > colon;
        return namesFunction ? line.substr(colon + 2) : line;
    }

    /// Turns a toml11 error report (a headline, then source lines with a caret below) into a
    /// finding.
    void addSyntaxError(const std::string& what, SourceLocation location, Findings& findings)
    {
        const auto report = linesOf(what);
        std::string message = headline(report);
        const std::string source = ' ' + std::to_string(location.line) + " | ";
        for (std::size_t i = 0; i + 1 < report.size(); ++i) {
            const std::size_t caretColumn = report[i + 1].find(caret);
            if (!report[i].starts_with(source) || caretColumn == std::string::npos)
                continue;
            location.column
                = caretColumn >= source.size() ? caretColumn - source.size() + 1 : location.column;
            const std::string hint = report[i + 1].substr(caretColumn + caret.size());
            if (hint != " here")
                message += ':' + hint;
            break;
        }
        findings.error(std::move(location), std::move(message));
    }

} // namespace

std::optional<toml::value> parseToml(
    std::string_view text, const std::string& fileName, Findings& findings)
{
    DepthScanner scanner;
    if (scanner.exceedsMaxDepth(text)) {
        findings.error(scanner.location(fileName),
            "arrays and tables nest deeper than " + std::to_string(maxTomlDepth));
        return std::nullopt;
    }
    std::istringstream stream { std::string(text) };
    try {
        return toml::parse(stream, fileName);
    } catch (const toml::exception& e) {
        const auto& location = e.location();
        addSyntaxError(e.what(), { fileName, location.line(), location.column() }, findings);
    } catch (const std::exception& e) {
        findings.error({ fileName, 1, 1 }, std::string("not TOML: ") + e.what());
    }
    return std::nullopt;
}

} // namespace laburnum
