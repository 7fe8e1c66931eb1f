/// Maps the keys of client accounts to the accounts that own them.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <laburnumroute/configuration.h>

namespace laburnum {

/// Identifies `key` in logs: the first 8 hexadecimal digits of its SHA-256.
std::string keyFingerprint(std::string_view key);

/// The account that a key belongs to.
struct AccountMatch {
    ClientAccountId account;
    /// Takes precedence over the route's priority.
    std::optional<std::uint32_t> priority;
    /// keyFingerprint() of the key.
    std::string fingerprint;
};

/// Immutable; built from a configuration. Holds digests instead of keys, so that a memory dump of
/// a host reveals no key. Load pattern: one lookup per request, at a cost independent of the number
/// of keys; one rebuild per configuration, with up to tens of thousands of keys.
class AccountDirectory {
public:
    AccountDirectory() = default;
    explicit AccountDirectory(const std::vector<ClientAccountSpec>& accounts);

    /// Without accounts no request needs a key.
    bool hasAccounts() const noexcept { return !m_accounts.empty(); }
    std::size_t keyCount() const noexcept { return m_accountOfKey.size(); }
    /// Empty for an unknown key.
    std::optional<AccountMatch> find(std::string_view key) const;

private:
    /// The first half of a SHA-256. 128 bits are enough to rule out that a client finds a second
    /// key with the digest of a known one.
    using KeyDigest = std::array<std::uint64_t, 2>;
    struct KeyDigestHash {
        std::size_t operator()(const KeyDigest& digest) const noexcept { return digest[0]; }
    };
    struct Account {
        ClientAccountId name;
        std::optional<std::uint32_t> priority;
    };

    std::vector<Account> m_accounts;
    /// Index in `m_accounts` by key.
    std::unordered_map<KeyDigest, std::uint32_t, KeyDigestHash> m_accountOfKey;
};

} // namespace laburnum
