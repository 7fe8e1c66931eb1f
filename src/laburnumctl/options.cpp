#include "options.h"

#include <cxxopts.hpp>

namespace laburnum::ctl {

namespace {

    cxxopts::Options makeParser()
    {
        cxxopts::Options parser("laburnumctl", "Checks, submits and inspects configurations.");
        auto add = parser.add_options();
        add("control",
            "address of a control host, such as http://10.0.0.1:9001; repeat the option or "
            "separate by commas to name several",
            cxxopts::value<std::vector<std::string>>()->default_value("http://127.0.0.1:9001"));
        add("key", "file of the fleet's shared key", cxxopts::value<std::string>());
        add("json", "print JSON");
        add("change-id", "name of the change (apply)", cxxopts::value<std::string>());
        add("expected", "revision that the change is based on (apply)",
            cxxopts::value<std::uint64_t>());
        add("revision", "revision to show or compare with (show, diff)",
            cxxopts::value<std::uint64_t>());
        add("wait", "seconds to wait until in force everywhere (apply)",
            cxxopts::value<std::uint32_t>()->default_value("10"));
        add("timeout", "seconds to retry a request that no control host answers",
            cxxopts::value<std::uint32_t>()->default_value("10"));
        add("svg", "write an SVG picture to this file instead of printing text (timeline)",
            cxxopts::value<std::string>());
        add("help", "print this text");
        add("words", "command and its arguments", cxxopts::value<std::vector<std::string>>());
        parser.positional_help("COMMAND [ARGUMENT...]");
        parser.parse_positional({ "words" });
        return parser;
    }

    template <class T>
    std::optional<T> optionalValue(const cxxopts::ParseResult& parsed, const char* name)
    {
        if (parsed.count(name) == 0)
            return std::nullopt;
        return parsed[name].as<T>();
    }

    Options readOptions(const cxxopts::ParseResult& parsed)
    {
        Options options;
        if (parsed.count("words") != 0)
            options.arguments = parsed["words"].as<std::vector<std::string>>();
        if (!options.arguments.empty()) {
            options.command = options.arguments.front();
            options.arguments.erase(options.arguments.begin());
        }
        options.controls = parsed["control"].as<std::vector<std::string>>();
        options.keyFile = optionalValue<std::string>(parsed, "key").value_or("");
        options.changeId = optionalValue<std::string>(parsed, "change-id");
        options.expected = optionalValue<std::uint64_t>(parsed, "expected");
        options.revision = optionalValue<std::uint64_t>(parsed, "revision");
        options.wait = std::chrono::seconds(parsed["wait"].as<std::uint32_t>());
        options.timeout = std::chrono::seconds(parsed["timeout"].as<std::uint32_t>());
        options.svgFile = optionalValue<std::string>(parsed, "svg").value_or("");
        options.json = parsed.count("json") != 0;
        options.help = parsed.count("help") != 0;
        return options;
    }

} // namespace

Expected<Options> parseOptions(int argc, const char* const* argv)
{
    try {
        return readOptions(makeParser().parse(argc, argv));
    } catch (const std::exception& e) {
        return fail(ErrorCode::InvalidArgument, e.what());
    }
}

std::string optionsHelp()
{
    // Removes the line of the positional arguments; the command table describes them.
    std::string help = makeParser().help();
    const std::size_t words = help.find("      --words");
    if (words != std::string::npos)
        help.erase(words, help.find('\n', words) + 1 - words);
    return help;
}

} // namespace laburnum::ctl
