// laburnumctl: the operators' command line.

#include <fstream>
#include <iostream>
#include <optional>
#include <random>
#include <sstream>

#include <cxxopts.hpp>
#include <httplib.h>

#include <laburnumroute/balancer.h>
#include <laburnumroute/configuration.h>
#include <laburnumroute/json.h>

namespace {

using namespace laburnum;

constexpr int exitFindings = 1;
constexpr int exitUsage = 2;
constexpr int exitUnreachable = 3;
constexpr int exitRefused = 4;
constexpr int statusOk = 200;

std::optional<std::string> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        std::cerr << "laburnumctl: cannot read '" << path << "'\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Prints the findings of `text`; true when it may be submitted.
bool checkText(const std::string& text, const std::string& path)
{
    Findings findings;
    readConfiguration(text, path, findings, { BalancerRegistry::instance().names(), {} });
    for (const auto& finding : findings.sorted())
        std::cout << formatFinding(finding) << '\n';
    return !findings.hasErrors();
}

int check(const std::string& path)
{
    const auto text = readFile(path);
    if (!text)
        return exitUsage;
    return checkText(*text, path) ? EXIT_SUCCESS : exitFindings;
}

int apply(const cxxopts::ParseResult& arguments, const std::string& path)
{
    const auto text = readFile(path);
    if (!text)
        return exitUsage;
    if (!checkText(*text, path))
        return exitFindings;
    Json::Value change(Json::objectValue);
    change["change"] = arguments["change-id"].as<std::string>();
    change["expected"] = Json::UInt64(arguments["expected"].as<std::uint64_t>());
    change["content"] = *text;
    httplib::Client client(arguments["control"].as<std::string>());
    const auto answer = client.Post("/v1/config", toJsonText(change), "application/json");
    if (!answer) {
        std::cerr << "laburnumctl: no answer from the control host\n";
        return exitUnreachable;
    }
    std::cout << answer->body;
    return answer->status == statusOk ? EXIT_SUCCESS : exitRefused;
}

int status(const cxxopts::ParseResult& arguments)
{
    httplib::Client client(arguments["control"].as<std::string>());
    const auto answer = client.Get("/v1/status");
    if (!answer) {
        std::cerr << "laburnumctl: no answer from the host\n";
        return exitUnreachable;
    }
    std::cout << answer->body;
    return answer->status == statusOk ? EXIT_SUCCESS : exitRefused;
}

int run(const cxxopts::ParseResult& arguments, const std::string& help)
{
    const std::string command
        = arguments.count("command") != 0 ? arguments["command"].as<std::string>() : "";
    const std::string file
        = arguments.count("file") != 0 ? arguments["file"].as<std::string>() : "";
    if (command == "check" && !file.empty())
        return check(file);
    if (command == "apply" && !file.empty())
        return apply(arguments, file);
    if (command == "status")
        return status(arguments);
    std::cerr << help;
    return exitUsage;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("laburnumctl", "Checks, submits and inspects configurations.");
    options.add_options()("command", "check, apply or status", cxxopts::value<std::string>())(
        "file", "configuration file", cxxopts::value<std::string>())("control",
        "address of a control host",
        cxxopts::value<std::string>()->default_value("http://127.0.0.1:9001"))("change-id",
        "name of the change", cxxopts::value<std::string>()->default_value("change"))("expected",
        "revision that the change builds on", cxxopts::value<std::uint64_t>()->default_value("0"));
    options.positional_help("COMMAND [FILE]");
    options.parse_positional({ "command", "file" });
    try {
        return run(options.parse(argc, argv), options.help());
    } catch (const std::exception& e) {
        std::cerr << "laburnumctl: " << e.what() << '\n';
        return exitUsage;
    }
}
