#include "text_diff.h"

#include <cstdint>
#include <vector>

namespace laburnum::ctl {

namespace {

    using Lines = std::vector<std::string_view>;

    /// Most pairs of lines that are compared. A larger changed section is shown as replaced as a
    /// whole.
    constexpr std::size_t maxLinePairs = 25'000'000;

    Lines linesOf(std::string_view text)
    {
        Lines lines;
        while (!text.empty()) {
            const std::size_t end = text.find('\n');
            lines.push_back(text.substr(0, end));
            text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        }
        return lines;
    }

    /// Lengths of the longest common subsequences of all pairs of suffixes.
    class SuffixLcsLengths {
    public:
        SuffixLcsLengths(const Lines& before, const Lines& after)
            : m_width(after.size() + 1)
            , m_lengths((before.size() + 1) * m_width)
        {
            for (std::size_t i = before.size(); i-- > 0;) {
                for (std::size_t j = after.size(); j-- > 0;)
                    m_lengths[i * m_width + j] = before[i] == after[j]
                        ? at(i + 1, j + 1) + 1
                        : std::max(at(i + 1, j), at(i, j + 1));
            }
        }

        std::uint32_t at(std::size_t i, std::size_t j) const { return m_lengths[i * m_width + j]; }

    private:
        std::size_t m_width;
        std::vector<std::uint32_t> m_lengths;
    };

    /// Prints changed lines in groups.
    class DiffPrinter {
    public:
        explicit DiffPrinter(std::size_t commonPrefix)
            : m_before(commonPrefix)
            , m_after(commonPrefix)
        {
        }

        void keep()
        {
            ++m_before;
            ++m_after;
            m_inGroup = false;
        }

        void remove(std::string_view line)
        {
            openGroup();
            ++m_before;
            print('-', line);
        }

        void add(std::string_view line)
        {
            openGroup();
            ++m_after;
            print('+', line);
        }

        std::string take() { return std::move(m_text); }

    private:
        void openGroup()
        {
            if (!m_inGroup)
                m_text += "@@ -" + std::to_string(m_before + 1) + " +" + std::to_string(m_after + 1)
                    + " @@\n";
            m_inGroup = true;
        }

        void print(char sign, std::string_view line)
        {
            m_text += sign;
            m_text += line;
            m_text += '\n';
        }

        std::string m_text;
        std::size_t m_before;
        std::size_t m_after;
        bool m_inGroup = false;
    };

    void printChanges(const Lines& before, const Lines& after, DiffPrinter& printer)
    {
        const bool compare = before.size() * after.size() <= maxLinePairs;
        const SuffixLcsLengths lengths(compare ? before : Lines(), compare ? after : Lines());
        std::size_t i = 0;
        std::size_t j = 0;
        while (i < before.size() || j < after.size()) {
            const bool bothLeft = i < before.size() && j < after.size();
            if (compare && bothLeft && before[i] == after[j]) {
                printer.keep();
                ++i;
                ++j;
            } else if (i < before.size()
                && (!compare || j == after.size()
                    || lengths.at(i + 1, j) >= lengths.at(i, j + 1))) {
                printer.remove(before[i++]);
            } else {
                printer.add(after[j++]);
            }
        }
    }

} // namespace

std::string diffLines(std::string_view before, std::string_view after)
{
    Lines oldLines = linesOf(before);
    Lines newLines = linesOf(after);
    std::size_t prefix = 0;
    while (prefix < oldLines.size() && prefix < newLines.size()
        && oldLines[prefix] == newLines[prefix])
        ++prefix;
    oldLines.erase(oldLines.begin(), oldLines.begin() + static_cast<std::ptrdiff_t>(prefix));
    newLines.erase(newLines.begin(), newLines.begin() + static_cast<std::ptrdiff_t>(prefix));
    while (!oldLines.empty() && !newLines.empty() && oldLines.back() == newLines.back()) {
        oldLines.pop_back();
        newLines.pop_back();
    }
    DiffPrinter printer(prefix);
    printChanges(oldLines, newLines, printer);
    return printer.take();
}

} // namespace laburnum::ctl
