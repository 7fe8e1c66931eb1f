/// The commands of laburnumctl.
#pragma once

#include <iosfwd>
#include <span>
#include <string>

#include "control_client.h"
#include "options.h"

namespace laburnum::ctl {

/// What a command works with.
struct Session {
    const Options& options;
    std::ostream& out;
    std::ostream& errors;
    Pacer pacer;
    ControlClient client;
};

/// One entry of the table of commands.
struct Command {
    const char* name;
    /// The arguments as the help text shows them.
    const char* usage;
    const char* help;
    std::size_t argumentCount;
    /// Whether the last argument may be given several times.
    bool mayRepeat;
    int (*run)(Session& session);
};

/// All commands in the order of the help text.
std::span<const Command> commands();
/// The help text.
std::string helpText();
/// Runs the command that `options` name and returns the process's exit code.
int runCommand(const Options& options, std::ostream& out, std::ostream& errors, const Pacer& pacer);

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
