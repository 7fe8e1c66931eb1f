#include <catch2/catch.hpp>

#include <cstdio>
#include <filesystem>
#include <fstream>

#include <sys/stat.h>

#include <laburnumroute/auth.h>

#include "hmac_pvt.h"

using namespace laburnum;
using namespace std::chrono_literals;

namespace {

const WallTime started { 1'000'000s };
const WallTime now = started + 10min;
const SharedKey key = SharedKey::create(std::string(32, 'k')).value();
const RequestParts request { "POST", "/v1/config?x=1", "{}" };

/// A temporary key file, removed on destruction.
class KeyFile {
public:
    KeyFile(const std::string& content, mode_t mode)
        : m_path((
            std::filesystem::temp_directory_path() / ("laburnum-key-" + pvt::toHex(randomBytes(8))))
                     .string())
    {
        std::ofstream(m_path, std::ios::binary) << content;
        ::chmod(m_path.c_str(), mode);
    }
    ~KeyFile() { std::remove(m_path.c_str()); }
    KeyFile(const KeyFile&) = delete;
    KeyFile& operator=(const KeyFile&) = delete;
    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

std::string refusal(const Expected<void>& result)
{
    REQUIRE_FALSE(result.has_value());
    REQUIRE(result.error().code == ErrorCode::PermissionDenied);
    return result.error().message;
}

} // namespace

TEST_CASE("HMAC-SHA-256 matches published test vectors")
{
    // RFC 4231, test cases 2 and 6.
    REQUIRE(pvt::toHex(pvt::hmacSha256("Jefe", "what do ya want for nothing?"))
        == "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
    REQUIRE(pvt::toHex(pvt::hmacSha256(
                std::string(131, '\xaa'), "Test Using Larger Than Block-Size Key - Hash Key First"))
        == "60e431591ee0b67f0d8a26aacbf5b77f8e0bc6213728c5140546040f0ee37f54");
}

TEST_CASE("a key file is accepted only with a valid size and private permissions")
{
    const std::string content(64, 'a');
    REQUIRE(readKeyFile(KeyFile(content + "\n", 0600).path()).value().bytes() == content);
    REQUIRE(readKeyFile(KeyFile(content, 0400).path()).has_value());
    for (const mode_t mode : { 0640, 0604, 0660, 0602, 0610 }) {
        const KeyFile file(content, mode);
        const auto refused = readKeyFile(file.path());
        REQUIRE(refused.error().code == ErrorCode::PermissionDenied);
        REQUIRE(refused.error().message.find(file.path()) != std::string::npos);
    }
    REQUIRE(readKeyFile(KeyFile(std::string(31, 'a') + "\n", 0600).path()).error().code
        == ErrorCode::InvalidArgument);
    REQUIRE(readKeyFile(KeyFile(std::string(5000, 'a'), 0600).path()).error().code
        == ErrorCode::InvalidArgument);
    REQUIRE(readKeyFile("/nonexistent/key").error().code == ErrorCode::Io);
    REQUIRE(readKeyFile("/").error().code == ErrorCode::InvalidArgument);
}

TEST_CASE("a signed request is accepted once")
{
    RequestVerifier verifier(key, started);
    const std::string signature = signRequest(key, request, now);
    REQUIRE(verifier.verify(request, signature, now).has_value());
    REQUIRE(refusal(verifier.verify(request, signature, now + 30s)).find("sent before")
        != std::string::npos);
    REQUIRE(verifier.verify(request, signRequest(key, request, now), now).has_value());
}

TEST_CASE(
    "a request with a missing or invalid signature, another key or a changed part is rejected")
{
    RequestVerifier verifier(key, started);
    const SharedKey other = SharedKey::create(std::string(32, 'o')).value();
    const std::string good = signRequest(key, request, now);
    REQUIRE(refusal(verifier.verify(request, "", now)).find("missing") != std::string::npos);
    for (const char* bad : { "v1", "v2 1 2 3", "v1 x 2 3", "v1  2 3", "v1 1 2 3 4" })
        refusal(verifier.verify(request, bad, now));
    refusal(verifier.verify(request, signRequest(other, request, now), now));
    refusal(verifier.verify({ "GET", request.target, request.body }, good, now));
    refusal(verifier.verify({ request.method, "/v1/config", request.body }, good, now));
    refusal(verifier.verify({ request.method, request.target, "{ }" }, good, now));
    for (std::size_t i = 3; i < good.size(); ++i) {
        std::string changed = good;
        changed[i] = changed[i] == '1' ? '2' : '1';
        CAPTURE(i);
        refusal(verifier.verify(request, changed, now));
    }
    REQUIRE(verifier.verify(request, good, now).has_value());
}

TEST_CASE("a stale signature and one made before the start are rejected")
{
    RequestVerifier verifier(key, started);
    refusal(verifier.verify(request, signRequest(key, request, now - 61s), now));
    refusal(verifier.verify(request, signRequest(key, request, now + 61s), now));
    REQUIRE(verifier.verify(request, signRequest(key, request, now - 60s), now).has_value());
    const std::string before = signRequest(key, request, started - 1ms);
    REQUIRE(refusal(verifier.verify(request, before, started + 1s)).find("before this host")
        != std::string::npos);
    const std::string atStart = signRequest(key, request, started);
    REQUIRE(RequestVerifier(key, started).verify(request, atStart, started).has_value());
    // A signature with a future time is remembered for as long as it would be accepted.
    const std::string early = signRequest(key, request, now + 60s);
    REQUIRE(verifier.verify(request, early, now).has_value());
    refusal(verifier.verify(request, early, now + 120s));
}

TEST_CASE("frames verify only if unchanged, in order, on their connection and at their receiver")
{
    const HostId receiver("a");
    FrameAuthenticator sender(key, "challenge", receiver);
    const std::string first = sender.nextTag("one");
    const std::string second = sender.nextTag("two");
    const auto verifier = [&] { return FrameAuthenticator(key, "challenge", receiver); };

    auto inOrder = verifier();
    REQUIRE(inOrder.verifyNext("one", first));
    REQUIRE(inOrder.verifyNext("two", second));
    REQUIRE_FALSE(inOrder.verifyNext("two", second));
    REQUIRE_FALSE(verifier().verifyNext("two", second));
    REQUIRE_FALSE(verifier().verifyNext("0ne", first));
    REQUIRE_FALSE(verifier().verifyNext("one", first.substr(1)));
    REQUIRE_FALSE(FrameAuthenticator(key, "other", receiver).verifyNext("one", first));
    REQUIRE_FALSE(FrameAuthenticator(key, "challenge", HostId("b")).verifyNext("one", first));
    const SharedKey other = SharedKey::create(std::string(32, 'o')).value();
    REQUIRE_FALSE(FrameAuthenticator(other, "challenge", receiver).verifyNext("one", first));
}
