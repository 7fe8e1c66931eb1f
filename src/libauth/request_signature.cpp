// Signatures of HTTP requests: `v1 TIME_MS NONCE MAC`, with NONCE and MAC in hexadecimal.

#include <laburnumroute/auth.h>

#include <charconv>
#include <optional>
#include <vector>

#include "hmac_pvt.h"

namespace laburnum {

namespace {

    constexpr std::string_view version = "v1";
    constexpr std::size_t nonceBytes = 16;
    constexpr std::size_t partCount = 4;

    /// A parsed signature.
    struct Signature {
        WallTime signedAt;
        std::string_view time;
        std::string_view nonce;
        std::string_view mac;
    };

    std::vector<std::string_view> splitWords(std::string_view text)
    {
        std::vector<std::string_view> words;
        while (true) {
            const std::size_t space = text.find(' ');
            words.push_back(text.substr(0, space));
            if (space == std::string_view::npos)
                return words;
            text.remove_prefix(space + 1);
        }
    }

    std::optional<Signature> parseSignature(std::string_view text)
    {
        const auto words = splitWords(text);
        if (words.size() != partCount || words[0] != version)
            return std::nullopt;
        std::int64_t millis = 0;
        const auto [end, code]
            = std::from_chars(words[1].data(), words[1].data() + words[1].size(), millis);
        if (code != std::errc() || end != words[1].data() + words[1].size() || millis < 0)
            return std::nullopt;
        return Signature { WallTime(std::chrono::milliseconds(millis)), words[1], words[2],
            words[3] };
    }

    std::string computeMac(const SharedKey& key, const RequestParts& request, std::string_view time,
        std::string_view nonce)
    {
        std::string message = "laburnum-http-1";
        for (const std::string_view part :
            { time, nonce, request.method, request.target, request.body }) {
            message += '\n';
            message += part;
        }
        return pvt::toHex(pvt::hmacSha256(key.bytes(), message));
    }

    tl::unexpected<Error> deny(const std::string& reason)
    {
        return fail(ErrorCode::PermissionDenied, reason);
    }

} // namespace

std::string signRequest(const SharedKey& key, const RequestParts& request, WallTime now)
{
    const std::string time = std::to_string(now.time_since_epoch().count());
    const std::string nonce = pvt::toHex(randomBytes(nonceBytes));
    return std::string(version) + ' ' + time + ' ' + nonce + ' '
        + computeMac(key, request, time, nonce);
}

RequestVerifier::RequestVerifier(SharedKey key, WallTime started)
    : m_key(std::move(key))
    , m_started(started)
{
}

Expected<void> RequestVerifier::verify(
    const RequestParts& request, std::string_view signature, WallTime now)
{
    if (signature.empty())
        return deny(std::string("header ") + signatureHeader + " is missing");
    const auto parsed = parseSignature(signature);
    if (!parsed)
        return deny(std::string("header ") + signatureHeader + " is not 'v1 TIME_MS NONCE MAC'");
    const std::string mac = computeMac(m_key, request, parsed->time, parsed->nonce);
    if (!pvt::equalInConstantTime(mac, parsed->mac))
        return deny("the signature does not match: another key, or the request was changed");
    if (parsed->signedAt < now - maxSkew || parsed->signedAt > now + maxSkew)
        return deny("the signature is stale: the clocks of signer and host differ by more than "
            + std::to_string(maxSkew.count()) + " s, or the request is old");
    if (parsed->signedAt < m_started)
        return deny("the signature was made before this host started; sign the request again");
    return remember(mac, parsed->signedAt, now);
}

Expected<void> RequestVerifier::remember(const std::string& mac, WallTime signedAt, WallTime now)
{
    const std::lock_guard lock(m_mutex);
    m_accepted.erase(m_accepted.begin(), m_accepted.lower_bound(now - maxSkew));
    const auto [first, last] = m_accepted.equal_range(signedAt);
    for (auto entry = first; entry != last; ++entry) {
        if (entry->second == mac)
            return deny("the request was sent before; sign it again to repeat it");
    }
    if (m_accepted.size() >= maxRemembered)
        return fail(ErrorCode::Unavailable, "too many signed requests; try again later");
    m_accepted.emplace(signedAt, mac);
    return {};
}

} // namespace laburnum
