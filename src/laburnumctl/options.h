/// The command line of laburnumctl.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <laburnumroute/error.h>

namespace laburnum::ctl {

/// A parsed command line.
struct Options {
    std::string command;
    /// The arguments after the command.
    std::vector<std::string> arguments;
    /// Addresses of control hosts, tried in order.
    std::vector<std::string> controls;
    /// Path of the shared key's file; empty when the fleet has none.
    std::string keyFile;
    std::optional<std::string> changeId;
    /// Revision that a change is based on; requested from a control host when missing.
    std::optional<std::uint64_t> expected;
    /// Revision to show or to compare with; the newest when missing.
    std::optional<std::uint64_t> revision;
    /// How long apply waits until the change is in force everywhere.
    std::chrono::seconds wait { 10 };
    /// How long a request is retried while no control host answers.
    std::chrono::seconds timeout { 10 };
    /// Path of the SVG file that timeline writes; empty for text output.
    std::string svgFile;
    bool json = false;
    bool help = false;
};

/// Parses the command line; fails with InvalidArgument and a description of the problem.
Expected<Options> parseOptions(int argc, const char* const* argv);
/// The description of all options.
std::string optionsHelp();

} // namespace laburnum::ctl
