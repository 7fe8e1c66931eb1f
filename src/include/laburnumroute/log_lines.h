/// Reads the decision logs of several processes, for trace and timeline.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include <json/value.h>

namespace laburnum {

/// One line of a process's log.
struct LogLine {
    /// Wall-clock time of the host that wrote it, in milliseconds since 1970.
    std::int64_t timeMs = 0;
    std::string host;
    std::string kind;
    std::string reason;
    Json::Value facts;

    /// The fact `name` as text; empty when missing.
    std::string text(const char* name) const;
    /// The fact `name` as a number; 0 when missing or no number.
    std::int64_t number(const char* name) const;
};

/// A line that is no decision.
struct InvalidLogLine {
    std::string file;
    std::size_t number = 0;
    std::string why;
};

/// All lines of several files.
struct LogLines {
    /// After sortByTime(): in order of time; lines of one host keep their order.
    std::vector<LogLine> lines;
    std::vector<InvalidLogLine> bad;

    /// Adds the lines of `in`. What stands before the first brace of a line, such as a collector's
    /// stamp, is passed over; a line that holds no decision is listed as bad.
    void read(std::istream& in, const std::string& file);
    void sortByTime();
};

} // namespace laburnum
