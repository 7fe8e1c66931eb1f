#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>

#include "fakes/temporary_folder.h"

#include "settings_watcher.h"

using namespace laburnum;
using namespace laburnum::fakes;

namespace {

/// A settings file in a temporary folder.
class SettingsFile {
public:
    std::string path() const { return m_folder.path() + "/settings.toml"; }
    void write(const std::string& text) const
    {
        std::ofstream(path(), std::ios::binary | std::ios::trunc) << text;
    }

private:
    TemporaryFolder m_folder;
};

class RecordingLog final : public DecisionLog {
public:
    void record(const Decision& decision) override { decisions.push_back(decision); }
    std::vector<Decision> decisions;
};

std::string settingsWith(const std::string& seeds)
{
    return "host = \"h\"\ndata_centre = \"d\"\nregion = \"r\"\ninterface = \"provider\"\n"
           "role = \"control\"\nfirst_start = true\ncalls = \"10.0.0.1:8000\"\n"
           "peer_address = \"10.0.0.1:7000\"\nseeds = ["
        + seeds
        + "]\nseed_peer_port = 7000\ndata_folder = \"/data\"\nbear_losses = 1\n"
          "repeat_ratio = 0.2\nrepeat_slack = 64\nrepeat_window_ms = 10000\n"
          "[data_centres]\nd = \"r\"\n";
}

} // namespace

TEST_CASE("settings watcher: SIGHUP reloads the file; an invalid or missing file is ignored")
{
    const SettingsFile file;
    file.write(settingsWith("\"10.0.0.2:8000\""));
    asio::io_context context;
    RecordingLog log;
    std::vector<std::vector<Endpoint>> seeds;
    SettingsWatcher watch(context, file.path(), log,
        [&](const SeededSettings& settings) { seeds.push_back(settings.seeds); });
    watch.start();
    const auto reloadBySignal = [&] {
        const std::size_t before = log.decisions.size();
        REQUIRE(::raise(SIGHUP) == 0);
        while (log.decisions.size() == before)
            context.run_one();
        return log.decisions.back();
    };

    file.write(settingsWith("\"10.0.0.3:8000\", \"10.0.0.4:8000\""));
    const Decision done = reloadBySignal();
    REQUIRE(done.kind == "reload");
    REQUIRE(done.reason == "done");
    REQUIRE(done.facts["cause"] == "signal");
    REQUIRE(seeds.size() == 1);
    REQUIRE(seeds.back() == std::vector<Endpoint> { { "10.0.0.3", 7000 }, { "10.0.0.4", 7000 } });

    for (const std::string& broken : { std::string("host ="), settingsWith("\"nowhere\"") }) {
        file.write(broken);
        const Decision refused = reloadBySignal();
        REQUIRE(refused.reason == "refused");
        REQUIRE(!refused.facts["findings"].empty());
    }
    std::filesystem::remove(file.path());
    REQUIRE(reloadBySignal().reason == "refused");
    REQUIRE(seeds.size() == 1);

    // A corrected file is loaded again.
    file.write(settingsWith("\"10.0.0.5:8000\""));
    REQUIRE(reloadBySignal().reason == "done");
    REQUIRE(seeds.size() == 2);
}
