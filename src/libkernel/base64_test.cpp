#include <catch2/catch.hpp>

#include <laburnumroute/base64.h>

using namespace laburnum;

TEST_CASE("base64 round-trips arbitrary bytes, and invalid text is rejected")
{
    std::string bytes;
    for (int length = 0; length < 300; ++length) {
        REQUIRE(decodeBase64(encodeBase64(bytes)).value() == bytes);
        bytes.push_back(static_cast<char>(length * 7));
    }
    REQUIRE(encodeBase64("ab") == "YWI=");
    REQUIRE_FALSE(decodeBase64("YWI").has_value());
    REQUIRE_FALSE(decodeBase64("Y*I=").has_value());
}
