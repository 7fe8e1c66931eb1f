#include <catch2/catch.hpp>

#include "codec_pvt.h"
#include "text_delta_pvt.h"

using namespace laburnum;
using namespace laburnum::pvt;

namespace {

constexpr std::size_t limit = std::size_t { 1 } << 20U;

/// A configuration of `routes` routes, with `timeout` at route `changed`.
std::string configText(int number, int routes, int changed, int timeout)
{
    std::string text = R"({"version":)" + std::to_string(number) + R"(,"routes":[)";
    for (int i = 0; i < routes; ++i)
        text += R"({"name":"r-)" + std::to_string(i * 7919) + R"(","prefix":"/p)"
            + std::to_string(i * 104729) + R"(/","timeout_ms":)"
            + std::to_string(i == changed ? timeout : 4000) + "},";
    return text + "]}";
}

} // namespace

TEST_CASE("load pattern: one of 1,700 routes changes, and every host needs the new configuration")
{
    const std::string base = configText(7, 1700, 0, 4000);
    const std::string next = configText(8, 1700, 400, 2500);
    const std::string delta = encodeDelta(next, base);
    CHECK(delta.size() < 300);
    CHECK(decodeDelta(delta, base, limit) == next);
    // The route is beyond the part of the base that deflate looks at.
    CHECK(deflateText(next, base).size() > 10 * delta.size());
}

TEST_CASE("a difference restores any text, and says when it belongs to another base")
{
    const std::string base = configText(1, 20, 3, 5);
    for (const std::string& text : { std::string(), std::string("no brace"), base, base + base,
             configText(2, 25, 3, 6), std::string("}}}") }) {
        CHECK(decodeDelta(encodeDelta(text, base), base, limit) == text);
        CHECK(decodeDelta(encodeDelta(text, ""), "", limit) == text);
    }
    const std::string delta = encodeDelta(configText(2, 20, 3, 6), base);
    CHECK_FALSE(decodeDelta(delta, configText(1, 10, 3, 5), limit));
    CHECK_FALSE(decodeDelta(delta, base, 100));
    CHECK_FALSE(decodeDelta(delta.substr(0, delta.size() / 2), base, limit));
    std::string damaged = delta;
    damaged[damaged.size() / 2] = static_cast<char>(~damaged[damaged.size() / 2]);
    CHECK_FALSE(decodeDelta(damaged, base, limit));
}
