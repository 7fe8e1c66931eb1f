/// How commands report: errors, findings and files that cannot be read.
#pragma once

#include <optional>
#include <string>

#include <json/value.h>

#include <laburnumroute/findings.h>

#include "commands.h"

namespace laburnum::ctl {

/// Prints `error` and returns the exit code for it. With --json it goes to the output.
int reportError(const Session& session, const Error& error);
/// Prints `value` as one line of JSON.
void printJson(const Session& session, const Json::Value& value);
/// The content of `path`; reports when it cannot be read.
std::optional<std::string> readFile(const Session& session, const std::string& path);
/// Reads `text` as a configuration with all facts that this program has.
Findings findingsOf(const std::string& text, const std::string& path);

} // namespace laburnum::ctl
