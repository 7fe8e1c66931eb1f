/// Reads the decision logs (JSON lines) of several processes, for `laburnumctl trace` and
/// `timeline`.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include <json/value.h>

namespace laburnum {

/// One decision from a process's log.
struct LogLine {
    /// Wall-clock time of the host that wrote the line, in milliseconds since the Unix epoch.
    std::int64_t timeMs = 0;
    std::string host;
    std::string kind;
    std::string reason;
    /// The whole JSON object, including the members above.
    Json::Value facts;

    /// The member `name` as a string; empty when it is missing or no string.
    std::string text(const char* name) const;
    /// The member `name` as an integer; 0 when it is missing or no integer.
    std::int64_t number(const char* name) const;
};

/// A line that could not be read as a decision.
struct InvalidLogLine {
    std::string file;
    /// Line number, from 1.
    std::size_t number = 0;
    std::string problem;
};

/// The lines of several files.
struct LogLines {
    /// In the order of reading until sortByTime() is called.
    std::vector<LogLine> lines;
    std::vector<InvalidLogLine> invalid;

    /// Adds the lines of `in`. Text before the first brace of a line, such as a log collector's
    /// time stamp, is skipped. A line without a decision goes to `invalid`, with `file` as the name
    /// of its file.
    void read(std::istream& in, const std::string& file);
    /// Sorts by time; lines with the same time keep their order.
    void sortByTime();
};

} // namespace laburnum
