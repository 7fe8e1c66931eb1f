// Stand-in upstream: answers every request with its own name and announces itself to an entry host.

#include <atomic>
#include <csignal>
#include <iostream>
#include <thread>

#include <cxxopts.hpp>
#include <httplib.h>

#include <laburnumroute/instance.h>
#include <laburnumroute/json.h>

namespace {

using namespace laburnum;

constexpr auto announceInterval = std::chrono::seconds(1);
constexpr std::size_t workerCount = 64;
std::atomic<bool> stopping { false };

InstanceRecord recordFrom(const cxxopts::ParseResult& arguments)
{
    InstanceRecord record;
    record.id = InstanceId(arguments["id"].as<std::string>());
    record.service = ServiceId(arguments["service"].as<std::string>());
    record.endpoint = parseEndpoint(arguments["listen"].as<std::string>()).value();
    record.dataCentre = DataCentreId(arguments["data-centre"].as<std::string>());
    record.region = RegionId(arguments["region"].as<std::string>());
    record.slots = 6;
    record.connections = 400;
    return record;
}

void announceUntilStopped(InstanceRecord record, const std::string& admin)
{
    while (!stopping) {
        record.version = static_cast<std::uint64_t>(std::time(nullptr));
        httplib::Client client(admin);
        client.Post("/v1/announce", toJsonText(encodeInstance(record)), "application/json");
        std::this_thread::sleep_for(announceInterval);
    }
}

void serve(const InstanceRecord& record)
{
    httplib::Server server;
    server.new_task_queue = [] { return new httplib::ThreadPool(workerCount); };
    const auto answer = [&](const httplib::Request& request, httplib::Response& response) {
        response.set_header("X-Instance", record.id.value());
        response.set_content(
            request.method + ' ' + request.target + '\n' + request.body, "text/plain");
    };
    server.Get(".*", answer);
    server.Post(".*", answer);
    server.Put(".*", answer);
    std::thread watcher([&] {
        while (!stopping)
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        server.stop();
    });
    server.listen(record.endpoint.address, record.endpoint.port);
    stopping = true;
    watcher.join();
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("standin_upstream", "Stand-in upstream for demonstrations and tests.");
    options.add_options()("id", "instance", cxxopts::value<std::string>())("service", "service",
        cxxopts::value<std::string>())("listen", "IP:PORT", cxxopts::value<std::string>())(
        "data-centre", "data centre", cxxopts::value<std::string>())(
        "region", "region", cxxopts::value<std::string>())(
        "admin", "admin address of an entry host", cxxopts::value<std::string>());
    try {
        const auto arguments = options.parse(argc, argv);
        const InstanceRecord record = recordFrom(arguments);
        std::signal(SIGTERM, [](int) { stopping = true; });
        std::signal(SIGINT, [](int) { stopping = true; });
        std::thread announcer(announceUntilStopped, record, arguments["admin"].as<std::string>());
        serve(record);
        announcer.join();
        return EXIT_SUCCESS;
    } catch (const std::exception& e) {
        std::cerr << "standin_upstream: " << e.what() << '\n';
        return EXIT_FAILURE;
    }
}
