// laburnumd: the serving process; its settings file determines its roles.

#include <fstream>
#include <iostream>
#include <sstream>

#include <cxxopts.hpp>

#include "node.h"
#include "seeded_node.h"

namespace {

constexpr int exitFindings = 1;
constexpr int exitUsage = 2;
constexpr int exitStartFailed = 3;

int reportFindings(const laburnum::Findings& findings)
{
    for (const auto& finding : findings.sorted())
        std::cerr << laburnum::formatFinding(finding) << '\n';
    return findings.hasErrors() ? exitFindings : EXIT_SUCCESS;
}

int serveSeeded(laburnum::SeededSettings settings, const std::string& path)
{
    const bool control = settings.control;
    const auto node = control ? laburnum::makeControlNode(std::move(settings), path)
                              : laburnum::makeEntryNode(std::move(settings), path);
    if (const auto started = node->start(); !started) {
        std::cerr << "laburnumd: " << started.error().message << '\n';
        return exitStartFailed;
    }
    node->run();
    return EXIT_SUCCESS;
}

int serve(const std::string& path)
{
    laburnum::Findings seededFindings;
    if (auto seeded = laburnum::readSeededFile(path, seededFindings)) {
        const int code = reportFindings(seededFindings);
        return code != EXIT_SUCCESS ? code : serveSeeded(std::move(*seeded), path);
    }
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        std::cerr << "laburnumd: cannot read '" << path << "'\n";
        return exitUsage;
    }
    std::ostringstream text;
    text << file.rdbuf();
    laburnum::Findings findings;
    laburnum::Settings settings = laburnum::readSettings(text.str(), path, findings);
    if (const int code = reportFindings(findings); code != EXIT_SUCCESS)
        return code;
    auto node = laburnum::Node::create(std::move(settings));
    const auto started = node ? node->start() : tl::unexpected<laburnum::Error>(node.error());
    if (!started) {
        std::cerr << "laburnumd: " << started.error().message << '\n';
        return exitStartFailed;
    }
    node->run();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("laburnumd", "Runs one process of a laburnumroute fleet.");
    options.add_options()("settings", "settings file", cxxopts::value<std::string>())(
        "help", "this text");
    options.positional_help("SETTINGS.toml");
    options.parse_positional({ "settings" });
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0) {
            std::cout << options.help();
            return EXIT_SUCCESS;
        }
        if (arguments.count("settings") == 0) {
            std::cerr << options.help();
            return exitUsage;
        }
        return serve(arguments["settings"].as<std::string>());
    } catch (const std::exception& e) {
        std::cerr << "laburnumd: " << e.what() << '\n';
        return exitUsage;
    }
}
