/// Lines of the claim journal: a checksum, a space, one JSON object, a line end.
#pragma once

#include <string>
#include <vector>

#include <json/value.h>

#include <laburnumroute/error.h>

namespace laburnum::pvt {

/// Name of the journal in the data folder.
constexpr const char* journalName = "claims.journal";

/// Renders one line.
std::string journalLine(const Json::Value& entry);

/// What a journal's text holds.
struct JournalContent {
    std::vector<Json::Value> entries;
    /// Bytes up to the end of the last whole line; what follows is a torn tail.
    std::size_t wholeBytes = 0;
};

/// Reads `text`. A last line without its end is a torn tail; any other damage is Corrupt and names
/// the file and the offset.
Expected<JournalContent> readJournal(const std::string& text);

} // namespace laburnum::pvt
