#include <laburnumroute/log_lines.h>

#include <algorithm>
#include <istream>

#include <laburnumroute/json.h>

namespace laburnum {

std::string LogLine::text(const char* name) const
{
    const Json::Value& value = facts[name];
    return value.isString() ? value.asString() : std::string();
}

std::int64_t LogLine::number(const char* name) const
{
    const Json::Value& value = facts[name];
    return value.isInt64() ? value.asInt64() : 0;
}

void LogLines::read(std::istream& in, const std::string& file)
{
    std::string text;
    for (std::size_t number = 1; std::getline(in, text); ++number) {
        const std::size_t brace = text.find('{');
        if (text.find_first_not_of(" \t\r") == std::string::npos)
            continue;
        if (brace == std::string::npos) {
            invalid.push_back({ file, number, "no JSON object" });
            continue;
        }
        auto facts = parseJson(std::string_view(text).substr(brace));
        if (!facts || !facts->isObject()) {
            invalid.push_back({ file, number, facts ? "no JSON object" : facts.error().message });
            continue;
        }
        LogLine line;
        line.facts = std::move(*facts);
        line.kind = line.text("kind");
        line.reason = line.text("reason");
        line.host = line.text("host");
        line.timeMs = line.number("time_ms");
        if (line.kind.empty() || line.timeMs == 0)
            invalid.push_back({ file, number, "no kind or no time_ms" });
        else
            lines.push_back(std::move(line));
    }
}

void LogLines::sortByTime()
{
    std::stable_sort(lines.begin(), lines.end(),
        [](const LogLine& a, const LogLine& b) { return a.timeMs < b.timeMs; });
}

} // namespace laburnum
