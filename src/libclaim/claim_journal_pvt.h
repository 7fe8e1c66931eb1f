/// Format of the claim journal. Each line holds a checksum, a space, a JSON object and a line feed.
#pragma once

#include <string>
#include <vector>

#include <json/value.h>

#include <laburnumroute/error.h>

namespace laburnum::pvt {

/// File name of the journal in the data folder.
constexpr const char* journalFile = "claims.journal";

/// Formats `entry` as one line of the journal.
std::string journalLine(const Json::Value& entry);

/// Parsed content of a journal.
struct JournalContent {
    std::vector<Json::Value> entries;
    /// Bytes up to the end of the last complete line; the rest is a torn tail.
    std::size_t completeBytes = 0;
};

/// Parses `text`. An incomplete last line is a torn tail; any other damage is reported as Corrupt
/// with file and offset.
Expected<JournalContent> readJournal(const std::string& text);

} // namespace laburnum::pvt
