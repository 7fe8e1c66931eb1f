#include "commands.h"

#include <algorithm>
#include <array>
#include <ostream>

#include "exit_codes.h"
#include "report.h"
#include "text_table.h"

namespace laburnum::ctl {

namespace {

    constexpr std::array<Command, 10> commandTable { {
        { "check", "FILE", "print all findings of a configuration; no network", 1, false,
            runCheck },
        { "diff", "FILE", "compare a file with the configuration in force", 1, false, runDiff },
        { "apply", "FILE", "submit a configuration and wait until it is in force", 1, false,
            runApply },
        { "show", "", "print the configuration in force, or that of --revision", 0, false,
            runShow },
        { "status", "", "print which revision is in force at each host", 0, false, runStatus },
        { "history", "", "list the accepted revisions", 0, false, runHistory },
        { "explain", "METHOD HOST TARGET", "show where a request would go and why", 3, false,
            runExplain },
        { "drain", "INSTANCE", "take an instance out of service gracefully", 1, false, runDrain },
        { "trace", "ID FILE...",
            "show one request's history and the cause of its outcome from logs", 2, true,
            runTrace },
        { "timeline", "NAME FILE...",
            "show the outcomes of an instance's or a service's requests over time", 2, true,
            runTimeline },
    } };

    Expected<std::optional<SharedKey>> readKey(const Options& options)
    {
        if (options.keyFile.empty())
            return std::optional<SharedKey>();
        return readKeyFile(options.keyFile).map([](SharedKey key) {
            return std::optional(std::move(key));
        });
    }

    int failUsage(std::ostream& errors, const std::string& message)
    {
        errors << "laburnumctl: " << message << "; see laburnumctl --help\n";
        return ExitUsage;
    }

} // namespace

std::span<const Command> commands() { return commandTable; }

std::string helpText()
{
    std::vector<TableRow> rows;
    rows.reserve(commandTable.size());
    for (const auto& command : commandTable)
        rows.push_back({ std::string("  ") + command.name + ' ' + command.usage, command.help });
    return optionsHelp() + "\n" + renderTable({ "Commands:", "" }, rows);
}

int runCommand(
    const Options& options, std::ostream& out, std::ostream& errors, const TimeSource& time)
{
    if (options.help) {
        out << helpText();
        return ExitOk;
    }
    if (options.command.empty())
        return failUsage(errors, "no command");
    const auto* command = std::find_if(commandTable.begin(), commandTable.end(),
        [&](const Command& candidate) { return options.command == candidate.name; });
    if (command == commandTable.end())
        return failUsage(errors, "unknown command '" + options.command + "'");
    const bool countFits = command->mayRepeat ? options.arguments.size() >= command->argumentCount
                                              : options.arguments.size() == command->argumentCount;
    if (!countFits)
        return failUsage(
            errors, "usage: laburnumctl " + std::string(command->name) + ' ' + command->usage);
    auto key = readKey(options);
    if (!key)
        return failUsage(errors, key.error().message);
    Session session { options, out, errors, time,
        ControlClient({ options.controls, std::move(*key), options.timeout }, time) };
    return command->run(session);
}

} // namespace laburnum::ctl
