/// Authentication with a shared key: HMAC-SHA-256 over operators' HTTP requests and over frames
/// between laburnumd processes. Provides authenticity and integrity, but no confidentiality:
/// nothing is encrypted.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include <laburnumroute/error.h>
#include <laburnumroute/ids.h>

namespace laburnum {

/// Wall-clock time, used only for signatures; clocks may differ by RequestVerifier::maxSkew.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Secret shared by all hosts and operators of a fleet.
class SharedKey {
public:
    /// Shorter keys are rejected.
    static constexpr std::size_t minBytes = 32;
    /// Longer key files are rejected: the path most likely names a different file.
    static constexpr std::size_t maxBytes = 4096;

    /// InvalidArgument when `bytes` is too short or too long.
    static Expected<SharedKey> create(std::string bytes);

    const std::string& bytes() const noexcept { return m_bytes; }

private:
    explicit SharedKey(std::string bytes);

    std::string m_bytes;
};

/// Reads a key file; a trailing line feed is not part of the key. PermissionDenied when group or
/// others have any access to it, or when it belongs to another user than this process or root;
/// InvalidArgument when its size is wrong; Io when it cannot be read. All messages name the file.
Expected<SharedKey> readKeyFile(const std::string& path);

/// `count` bytes from a cryptographically secure random generator.
std::string randomBytes(std::size_t count);

/// The parts of an HTTP request covered by a signature. `target` is the path with its query, as
/// sent.
struct RequestParts {
    std::string_view method;
    std::string_view target;
    std::string_view body;
};

/// Name of the header with the signature of a request.
constexpr const char* signatureHeader = "Laburnum-Signature";

/// Signs `request` at time `now`; returns the value of signatureHeader.
std::string signRequest(const SharedKey& key, const RequestParts& request, WallTime now);

/// Verifies signed requests on one host. A process accepts a signed request at most once, and not
/// at all when the signer's clock differs by more than maxSkew. A restarted process rejects
/// requests signed before its start; it can accept a request again only when the signer's clock is
/// ahead of its own. Another host with the same key can accept a copy within maxSkew. Thread-safe.
class RequestVerifier {
public:
    /// Maximum clock difference at which a signature is accepted.
    static constexpr std::chrono::seconds maxSkew { 60 };
    /// Maximum number of remembered requests; beyond it requests are rejected until some expire.
    static constexpr std::size_t maxRemembered = 100'000;

    /// Signatures made before `started` are rejected, because an earlier run may have accepted
    /// them.
    RequestVerifier(SharedKey key, WallTime started);

    /// `signature` is empty when the header is missing. PermissionDenied states why it is rejected;
    /// Unavailable when too many requests arrived within maxSkew.
    Expected<void> verify(const RequestParts& request, std::string_view signature, WallTime now);

private:
    Expected<void> remember(const std::string& mac, WallTime signedAt, WallTime now);

    SharedKey m_key;
    WallTime m_started;
    std::mutex m_mutex;
    /// Accepted signatures by signing time; guarded by m_mutex.
    std::multimap<WallTime, std::string> m_accepted;
};

/// Size in bytes of the random challenge that the accepting side sends first on each peer
/// connection.
constexpr std::size_t challengeBytes = 32;
/// Size in bytes of the authentication tag of a frame.
constexpr std::size_t frameTagBytes = 16;

/// Computes the authentication tags of successive frames on one connection. A tag covers the
/// challenge, the receiver, the frame's sequence number and its payload, so verification detects
/// changed, replayed, missing, reordered and misdirected frames. Not thread-safe.
class FrameAuthenticator {
public:
    FrameAuthenticator(const SharedKey& key, std::string_view challenge, const HostId& receiver);

    /// The tag of the next frame.
    std::string nextTag(std::string_view payload);
    /// Whether `tag` is the tag of the next frame; compares in constant time.
    bool verifyNext(std::string_view payload, std::string_view tag);

private:
    std::string m_sessionKey;
    std::uint64_t m_sequence = 0;
};

} // namespace laburnum
