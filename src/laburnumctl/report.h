/// Helpers of the commands: printing errors and JSON, reading and checking files.
#pragma once

#include <optional>
#include <string>

#include <json/value.h>

#include <laburnumroute/findings.h>

#include "commands.h"

namespace laburnum::ctl {

/// Prints `error` and returns its exit code. With --json it goes to standard output as JSON.
int reportError(const Session& session, const Error& error);
/// Prints `value` as one line of JSON.
void printJson(const Session& session, const Json::Value& value);
/// The content of `path`; empty, after an error message, when it cannot be read.
std::optional<std::string> readFile(const Session& session, const std::string& path);
/// Checks `text` as a configuration, against the balancers linked into this program.
Findings checkConfiguration(const std::string& text, const std::string& path);

} // namespace laburnum::ctl
