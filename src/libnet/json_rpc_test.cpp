#include <catch2/catch.hpp>

#include <laburnumroute/json_rpc.h>

using namespace laburnum;

TEST_CASE("a notification reaches the handler of its method")
{
    NotificationDispatcher dispatcher;
    int receivedValue = 0;
    dispatcher.add(
        "fleet.test", [&](const Json::Value& params) { receivedValue = params["n"].asInt(); });
    Json::Value params(Json::objectValue);
    params["n"] = 7;
    REQUIRE(dispatcher.dispatch(encodeNotification("fleet.test", params)));
    REQUIRE(receivedValue == 7);
    for (const char* malformed : { "{", "", "7", "null", "{}", "{\"jsonrpc\":\"2.0\"}" }) {
        CAPTURE(malformed);
        REQUIRE(dispatcher.dispatch(malformed).error().code == ErrorCode::InvalidArgument);
    }
    params["n"] = 8;
    const auto unknown = dispatcher.dispatch(encodeNotification("fleet.unknown", params));
    REQUIRE(unknown.error().code == ErrorCode::NotFound);
    REQUIRE(receivedValue == 7);
}
