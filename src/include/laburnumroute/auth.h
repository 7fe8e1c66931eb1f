/// Authentication by a shared key: HMAC-SHA-256 over operators' HTTP requests and over frames
/// between laburnumd processes. Nothing is encrypted: the key proves who sent a message and that
/// nobody changed it, not that nobody read it.
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

/// Wall-clock time, for signatures only: hosts compare theirs within RequestVerifier::maxSkew.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// The secret that all hosts and operators of one fleet share.
class SharedKey {
public:
    /// Shorter keys are refused.
    static constexpr std::size_t minBytes = 32;
    /// Longer key files are refused: they are most likely another file.
    static constexpr std::size_t maxBytes = 4096;

    /// InvalidArgument when `bytes` is too short or too long.
    static Expected<SharedKey> create(std::string bytes);

    const std::string& bytes() const noexcept { return m_bytes; }

private:
    explicit SharedKey(std::string bytes);

    std::string m_bytes;
};

/// Reads a key file; one line end at its end is not part of the key. PermissionDenied when others
/// than its owner may use it, or when it belongs to another user; InvalidArgument when its size is
/// wrong; Io when it cannot be read. Each names the file.
Expected<SharedKey> readKeyFile(const std::string& path);

/// `count` bytes from the system's secure generator.
std::string randomBytes(std::size_t count);

/// The parts of an HTTP request that a signature covers. `target` is the path with its query as
/// sent.
struct RequestParts {
    std::string_view method;
    std::string_view target;
    std::string_view body;
};

/// Name of the header that carries a request's signature.
constexpr const char* signatureHeader = "Laburnum-Signature";

/// Signs `request` for the time `now`; the result is the value of signatureHeader.
std::string signRequest(const SharedKey& key, const RequestParts& request, WallTime now);

/// Verifies signed requests at one host. One run accepts a signed request at most once, and not at
/// all when the signer's clock is off by more than maxSkew. A restarted host refuses what was
/// signed before its start; only when the signer's clock is ahead of its own can it take a request
/// again. Another host with the same key can accept a copy within maxSkew. Safe from any thread.
class RequestVerifier {
public:
    /// Clock difference up to which a signature counts as fresh.
    static constexpr std::chrono::seconds maxSkew { 60 };
    /// Requests that one host remembers; beyond this it refuses until some grow stale.
    static constexpr std::size_t maxRemembered = 100'000;

    /// Signatures made before `started` are refused, because a run before may have accepted them.
    RequestVerifier(SharedKey key, WallTime started);

    /// PermissionDenied says what is wrong with `signature`, empty when the header is missing;
    /// Unavailable when too many requests came within maxSkew.
    Expected<void> verify(const RequestParts& request, std::string_view signature, WallTime now);

private:
    Expected<void> remember(const std::string& mac, WallTime signedAt, WallTime now);

    SharedKey m_key;
    WallTime m_started;
    std::mutex m_mutex;
    /// Accepted signatures by the time at which they were made; guarded by m_mutex.
    std::multimap<WallTime, std::string> m_accepted;
};

/// Bytes that the accepting side of a peer connection sends first, fresh for each connection.
constexpr std::size_t challengeBytes = 32;
/// Bytes of a frame's authentication tag.
constexpr std::size_t frameTagBytes = 16;

/// Computes the tags of successive frames on one connection. The tag covers the challenge, the
/// receiver, the frame's number and its payload: a frame that is changed, repeated, left out,
/// reordered or sent to another host does not verify. Not thread-safe.
class FrameAuthenticator {
public:
    FrameAuthenticator(const SharedKey& key, std::string_view challenge, const HostId& receiver);

    /// The tag of the next frame.
    std::string nextTag(std::string_view payload);
    /// Whether `tag` belongs to the next frame, in constant time.
    bool verifyNext(std::string_view payload, std::string_view tag);

private:
    std::string m_sessionKey;
    std::uint64_t m_number = 0;
};

} // namespace laburnum
