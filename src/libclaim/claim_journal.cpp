#include "claim_journal_pvt.h"

#include <cstdio>

#include <laburnumroute/json.h>

#include <xxhash.h>

namespace laburnum::pvt {

namespace {

    constexpr std::size_t checksumDigits = 16;

    std::string checksumOf(std::string_view bytes)
    {
        char digits[checksumDigits + 1];
        const unsigned long long hash = XXH3_64bits(bytes.data(), bytes.size());
        std::snprintf(digits, sizeof digits, "%016llx", hash);
        return digits;
    }

    Expected<Json::Value> readLine(std::string_view line)
    {
        const bool framed = line.size() > checksumDigits && line[checksumDigits] == ' ';
        if (!framed
            || checksumOf(line.substr(checksumDigits + 1)) != line.substr(0, checksumDigits))
            return fail(ErrorCode::Corrupt, "checksum mismatch");
        return parseJson(line.substr(checksumDigits + 1));
    }

} // namespace

std::string journalLine(const Json::Value& entry)
{
    const std::string text = toJsonText(entry);
    return checksumOf(text) + ' ' + text + '\n';
}

Expected<JournalContent> readJournal(const std::string& text)
{
    JournalContent content;
    const auto corrupt = [&](const std::string& what) {
        return fail(ErrorCode::Corrupt,
            std::string("file '") + journalFile + "', offset "
                + std::to_string(content.completeBytes) + ": " + what);
    };
    const std::string_view all = text;
    while (content.completeBytes < text.size()) {
        const std::string_view rest = all.substr(content.completeBytes);
        const std::size_t end = rest.find('\n');
        if (end == std::string_view::npos) {
            // A torn write leaves a prefix of a line. A complete line whose last byte is not a line
            // feed is damaged.
            if (readLine(rest.substr(0, rest.size() - 1)))
                return corrupt("line does not end with a line feed");
            return content;
        }
        auto entry = readLine(rest.substr(0, end));
        if (!entry)
            return corrupt(entry.error().message);
        content.entries.push_back(std::move(*entry));
        content.completeBytes += end + 1;
    }
    return content;
}

} // namespace laburnum::pvt
