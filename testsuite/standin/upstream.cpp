// Stand-in upstream: echoes requests, announces itself, and fails on command.
//
// The file given by --mode contains the current mode: ok, fail (500 without delay), slow (ten times
// the work time) or shed (503, marked as not run). Probes (/probe) always succeed. For each
// executed request other than GET and HEAD, its X-Order header is appended as a line to the file
// given by --runs.

#include <atomic>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>

#include <cxxopts.hpp>
#include <httplib.h>

#include <laburnumroute/instance.h>
#include <laburnumroute/json.h>

namespace {

using namespace laburnum;

constexpr auto announceInterval = std::chrono::milliseconds(1000);
constexpr auto pollInterval = std::chrono::milliseconds(20);
/// Time between the announcement of the drain and the shutdown of the server.
constexpr auto drainTime = std::chrono::seconds(3);
constexpr std::size_t workerCount = 64;
constexpr int slowFactor = 10;
constexpr int statusError = 500;
constexpr int statusShed = 503;
std::atomic<bool> stopping { false };

struct StandinOptions {
    InstanceRecord record;
    std::string admin;
    std::string runsFile;
    std::string modeFile;
    std::chrono::milliseconds work {};
};

std::uint64_t wallMillis()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

/// Announces the instance periodically until drain() is called, which announces the drain.
class Announcer {
public:
    Announcer(InstanceRecord record, std::string admin)
        : m_record(std::move(record))
        , m_admin(std::move(admin))
        , m_thread([this] { run(); })
    {
    }

    void drain()
    {
        m_draining = true;
        m_thread.join();
        m_record.phase = InstancePhase::Draining;
        announce();
    }

private:
    void run()
    {
        while (!m_draining) {
            announce();
            for (auto waited = pollInterval; waited < announceInterval && !m_draining;
                 waited += pollInterval)
                std::this_thread::sleep_for(pollInterval);
        }
    }

    void announce()
    {
        ++m_record.version;
        httplib::Client client(m_admin);
        client.set_connection_timeout(std::chrono::seconds(1));
        client.Post("/v1/announce", toJsonText(encodeInstance(m_record)), "application/json");
    }

    InstanceRecord m_record;
    std::string m_admin;
    std::atomic<bool> m_draining { false };
    std::thread m_thread;
};

/// Answers requests according to the current mode and records executed ones.
class RequestHandler {
public:
    explicit RequestHandler(const StandinOptions& options)
        : m_options(options)
    {
    }

    void serve(const httplib::Request& request, httplib::Response& response)
    {
        response.set_header("X-Instance", m_options.record.id.value());
        const std::string mode = currentMode();
        if (mode == "shed") {
            response.status = statusShed;
            response.set_header("Laburnum-Outcome", "not-run");
            return;
        }
        if (mode == "fail") {
            response.status = statusError;
            return;
        }
        countRun(request);
        std::this_thread::sleep_for(m_options.work * (mode == "slow" ? slowFactor : 1));
        response.set_content(
            request.method + ' ' + request.target + '\n' + request.body, "text/plain");
    }

private:
    std::string currentMode() const
    {
        std::string mode = "ok";
        if (!m_options.modeFile.empty())
            std::ifstream(m_options.modeFile) >> mode;
        return mode;
    }

    void countRun(const httplib::Request& request)
    {
        if (m_options.runsFile.empty() || request.method == "GET" || request.method == "HEAD")
            return;
        const std::lock_guard lock(m_mutex);
        std::ofstream(m_options.runsFile, std::ios::app)
            << request.get_header_value("X-Order") << std::endl;
    }

    const StandinOptions& m_options;
    std::mutex m_mutex;
};

void serve(const StandinOptions& options)
{
    httplib::Server server;
    RequestHandler handler(options);
    server.new_task_queue = [] { return new httplib::ThreadPool(workerCount); };
    server.set_keep_alive_max_count(std::numeric_limits<std::size_t>::max());
    server.set_tcp_nodelay(true);
    const auto work = [&](const httplib::Request& request, httplib::Response& response) {
        handler.serve(request, response);
    };
    server.Get("/probe", [](const httplib::Request&, httplib::Response& response) {
        response.set_content("ok", "text/plain");
    });
    server.Get(".*", work);
    server.Post(".*", work);
    server.Put(".*", work);
    server.Delete(".*", work);
    server.Patch(".*", work);
    std::thread listener([&] {
        const Endpoint& endpoint = options.record.endpoint;
        if (!server.listen(endpoint.address, endpoint.port))
            stopping = true;
    });
    Announcer announcer(options.record, options.admin);
    while (!stopping)
        std::this_thread::sleep_for(pollInterval);
    announcer.drain();
    std::this_thread::sleep_for(drainTime);
    server.stop();
    listener.join();
}

StandinOptions optionsFrom(const cxxopts::ParseResult& arguments)
{
    StandinOptions options;
    InstanceRecord& record = options.record;
    record.id = InstanceId(arguments["id"].as<std::string>());
    record.service = ServiceId(arguments["service"].as<std::string>());
    record.endpoint = parseEndpoint(arguments["listen"].as<std::string>()).value();
    record.dataCentre = DataCentreId(arguments["data-centre"].as<std::string>());
    record.region = RegionId(arguments["region"].as<std::string>());
    record.incarnation = wallMillis();
    record.slots = 6;
    record.connections = 400;
    options.admin = arguments["admin"].as<std::string>();
    options.runsFile = arguments["runs"].as<std::string>();
    options.modeFile = arguments["mode"].as<std::string>();
    options.work = std::chrono::milliseconds(arguments["work-ms"].as<int>());
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    const auto text = [](const char* fallback) {
        return cxxopts::value<std::string>()->default_value(fallback);
    };
    cxxopts::Options options("standin_upstream", "Stand-in upstream for demonstrations and tests.");
    options.add_options()("id", "instance", cxxopts::value<std::string>())("service", "service",
        cxxopts::value<std::string>())("listen", "IP:PORT", cxxopts::value<std::string>())(
        "data-centre", "data centre", cxxopts::value<std::string>())("region", "region",
        cxxopts::value<std::string>())("admin", "admin address of an entry host",
        cxxopts::value<std::string>())("runs", "file that records executed requests", text(""))(
        "mode", "file that contains the mode", text(""))(
        "work-ms", "time that a request takes", cxxopts::value<int>()->default_value("0"));
    try {
        std::signal(SIGTERM, [](int) { stopping = true; });
        std::signal(SIGINT, [](int) { stopping = true; });
        serve(optionsFrom(options.parse(argc, argv)));
        return EXIT_SUCCESS;
    } catch (const std::exception& e) {
        std::cerr << "standin_upstream: " << e.what() << '\n';
        return EXIT_FAILURE;
    }
}
