#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include <laburnumroute/host_name.h>

using namespace laburnum;

// Guards against readers of host names that disagree about ports, case or spelling.
TEST_CASE("host names: spellings of one host are equal, other names and ports are not")
{
    const std::vector<std::vector<const char*>> hosts {
        { "h.example", "H.Example", "h.example:", "H.EXAMPLE:80", "h.example:080" },
        { "h.example:8080", "H.example:8080", "h.EXAMPLE:08080" },
        { "h.example:8443" },
        { "h.example:0" },
        { "h.example:65535" },
        { "[::1]", "[0:0:0:0:0:0:0:1]", "[0::0001]:80", "[::1]:" },
        { "[::1]:8080", "[0:0::1]:8080" },
        { "[2001:DB8::a]:8443", "[2001:db8:0::A]:8443" },
        { "[::ffff:10.0.0.1]", "[::FFFF:a00:1]" },
        { "10.0.0.1", "10.0.0.1:80" },
        { "10.0.0.1:81" },
        { "::1" },
        { "::1:8080" },
        { "h.example:65536" },
        { "h.example:x" },
        { "h.example:80x" },
        { "h.example:-1" },
        { "[::1" },
        { "[::1]8080" },
        { "[x]:8080", "[X]:8080" },
        { "" },
    };
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        for (const char* a : hosts[i]) {
            for (std::size_t j = 0; j < hosts.size(); ++j) {
                for (const char* b : hosts[j]) {
                    CAPTURE(a, b);
                    CHECK((parseHostName(a) == parseHostName(b)) == (i == j));
                    const bool sameText
                        = formatHostName(parseHostName(a)) == formatHostName(parseHostName(b));
                    CHECK(sameText == (i == j));
                }
            }
        }
    }
}

TEST_CASE("host names: the port is told apart from its absence")
{
    CHECK(parseHostName("h:80").hasPort);
    CHECK(parseHostName("[::1]:8080").hasPort);
    CHECK_FALSE(parseHostName("h").hasPort);
    CHECK_FALSE(parseHostName("h:").hasPort);
    CHECK_FALSE(parseHostName("[::1]").hasPort);
    CHECK(formatHostName(parseHostName("H.example:08443")) == "h.example:8443");
    CHECK(formatHostName(parseHostName("H.example:80")) == "h.example");
}
