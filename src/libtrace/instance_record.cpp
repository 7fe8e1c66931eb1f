#include "instance_record_pvt.h"

#include <algorithm>
#include <cstdlib>

namespace laburnum::pvt {

namespace {

    constexpr std::int64_t statusServerError = 500;

} // namespace

bool isServed(const LogLine& line)
{
    return line.kind == "request" && line.reason == "answered"
        && line.number("status") < statusServerError;
}

InstanceRecord instanceRecordNear(
    const LogLines& log, const std::string& instance, std::int64_t timeMs, const std::string& id)
{
    InstanceRecord record;
    for (const LogLine& line : log.lines) {
        if (std::abs(line.timeMs - timeMs) > recordWindowMs)
            continue;
        if (line.kind == "judge") {
            const auto& doubtful = line.facts["instances"];
            record.doubted = record.doubted
                || std::any_of(doubtful.begin(), doubtful.end(),
                    [&](const Json::Value& each) { return each == instance; });
        }
        if (line.text("instance") != instance || line.text("id") == id)
            continue;
        if (isServed(line))
            ++record.served;
        else if (line.kind == "attempt" && line.reason == "not-connected")
            ++record.notConnected;
        else if (line.kind == "attempt" && line.reason != "caller-gone"
            && line.reason != "given-up")
            ++record.failed;
    }
    return record;
}

} // namespace laburnum::pvt
