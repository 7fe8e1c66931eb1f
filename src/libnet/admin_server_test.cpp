#include <catch2/catch.hpp>

#include <atomic>

#include <httplib.h>

#include <laburnumroute/admin_server.h>

#include "net_test_pvt.h"

using namespace laburnum;

namespace {

constexpr const char* path = "/v1/drain?x=1";

WallTime wallClock()
{
    return std::chrono::time_point_cast<WallTime::duration>(std::chrono::system_clock::now());
}

/// A server that counts the requests that reach its handler.
struct Listener {
    explicit Listener(std::optional<SharedKey> key)
        : server(std::move(key))
    {
        server.handle("POST", "/v1/drain", [this](const AdminRequest& request) {
            ++handled;
            return AdminResponse { 200, "text/plain", request.body };
        });
        REQUIRE(server.listen(endpoint).has_value());
    }

    httplib::Result post(const std::string& body, const httplib::Headers& headers = {}) const
    {
        httplib::Client client(endpoint.address, endpoint.port);
        return client.Post(path, headers, body, "application/json");
    }

    Endpoint endpoint = pvt::freeEndpoint();
    AdminServer server;
    std::atomic<int> handled { 0 };
};

httplib::Headers signedHeaders(const SharedKey& key, const std::string& body, WallTime time)
{
    return { { signatureHeader, signRequest(key, { "POST", path, body }, time) } };
}

} // namespace

TEST_CASE("a server with a key passes only requests with a valid, new signature to handlers")
{
    const SharedKey key = pvt::testKey('k');
    const Listener listener(key);
    // Signatures from before the server's start are refused, so this one is dated 1 s ahead.
    const WallTime time = wallClock() + std::chrono::seconds(1);
    const auto headers = signedHeaders(key, "{}", time);
    REQUIRE(listener.post("{}", headers)->body == "{}");
    REQUIRE(listener.handled == 1);

    const auto repeated = listener.post("{}", headers);
    REQUIRE(repeated->status == 401);
    REQUIRE(repeated->body.find("sent before") != std::string::npos);
    const auto missing = listener.post("{}");
    REQUIRE(missing->status == 401);
    REQUIRE(missing->body.find("Laburnum-Signature is missing") != std::string::npos);
    REQUIRE(missing->has_header("WWW-Authenticate"));
    REQUIRE(listener.post("[]", signedHeaders(key, "{}", time))->status == 401);
    REQUIRE(listener.post("{}", signedHeaders(pvt::testKey('o'), "{}", time))->status == 401);
    REQUIRE(listener.handled == 1);
    REQUIRE(listener.server.refusedRequests() == 4);
}

TEST_CASE("a server without a key accepts unsigned requests and refuses a body that is too large")
{
    const Listener listener(std::nullopt);
    REQUIRE(listener.post("{}")->status == 200);
    const auto refused = listener.post(std::string(AdminServer::maxBodyBytes + 1, 'x'));
    REQUIRE((!refused || refused->status == 413));
    REQUIRE(listener.handled == 1);
}

TEST_CASE("listening on an address that is in use fails")
{
    const Listener first(std::nullopt);
    AdminServer second;
    const auto bound = second.listen(first.endpoint);
    REQUIRE_FALSE(bound.has_value());
    REQUIRE(bound.error().code == ErrorCode::Io);
}

TEST_CASE("a server that is stopped right after listen() terminates")
{
    for (int i = 0; i < 100; ++i) {
        CAPTURE(i);
        AdminServer server;
        REQUIRE(server.listen(pvt::freeEndpoint()).has_value());
    }
}
