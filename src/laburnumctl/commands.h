/// The commands of laburnumctl.
#pragma once

#include <iosfwd>
#include <span>
#include <string>

#include "control_client.h"
#include "options.h"

namespace laburnum::ctl {

/// The options, output streams and client that a command uses.
struct Session {
    const Options& options;
    std::ostream& out;
    std::ostream& errors;
    TimeSource time;
    ControlClient client;
};

/// One entry of the command table.
struct Command {
    const char* name;
    /// The arguments in the form shown in the help text.
    const char* usage;
    const char* help;
    std::size_t argumentCount;
    /// True when the last argument may be given several times; argumentCount is then the minimum.
    bool mayRepeat;
    int (*run)(Session& session);
};

/// All commands in the order of the help text.
std::span<const Command> commands();
std::string helpText();
/// Runs the command named in `options` and returns the exit code of the process.
int runCommand(
    const Options& options, std::ostream& out, std::ostream& errors, const TimeSource& time);

int runCheck(Session& session);
int runDiff(Session& session);
int runApply(Session& session);
int runShow(Session& session);
int runStatus(Session& session);
int runHistory(Session& session);
int runExplain(Session& session);
int runDrain(Session& session);
int runTrace(Session& session);
int runTimeline(Session& session);

} // namespace laburnum::ctl
