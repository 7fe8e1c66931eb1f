#include <catch2/catch.hpp>

#include <laburnumroute/base64.h>

using namespace laburnum;

TEST_CASE("any bytes survive base64, and other text is refused")
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
