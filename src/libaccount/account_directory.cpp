#include <laburnumroute/account_directory.h>

#include <cstring>

#include <openssl/evp.h>

namespace laburnum {

namespace {

    constexpr std::size_t digestBytes = 32;
    constexpr std::size_t fingerprintBytes = 4;
    using Digest = std::array<unsigned char, digestBytes>;

    Digest sha256(std::string_view text)
    {
        Digest digest {};
        EVP_Digest(text.data(), text.size(), digest.data(), nullptr, EVP_sha256(), nullptr);
        return digest;
    }

    std::string fingerprintOf(const Digest& digest)
    {
        constexpr std::string_view digits = "0123456789abcdef";
        std::string result;
        for (std::size_t i = 0; i < fingerprintBytes; ++i) {
            result += digits[digest.at(i) >> 4U];
            result += digits[digest.at(i) & 0xfU];
        }
        return result;
    }

    std::array<std::uint64_t, 2> truncated(const Digest& digest)
    {
        std::array<std::uint64_t, 2> result {};
        std::memcpy(result.data(), digest.data(), sizeof(result));
        return result;
    }

} // namespace

std::string keyFingerprint(std::string_view key) { return fingerprintOf(sha256(key)); }

AccountDirectory::AccountDirectory(const std::vector<ClientAccountSpec>& accounts)
{
    std::size_t keys = 0;
    for (const auto& account : accounts)
        keys += account.keys.size();
    m_accountOfKey.reserve(keys);
    m_accounts.reserve(accounts.size());
    for (const auto& account : accounts) {
        const auto index = static_cast<std::uint32_t>(m_accounts.size());
        m_accounts.push_back({ account.name, account.priority });
        for (const auto& key : account.keys)
            m_accountOfKey.emplace(truncated(sha256(key)), index);
    }
}

std::optional<AccountMatch> AccountDirectory::find(std::string_view key) const
{
    const Digest digest = sha256(key);
    const auto found = m_accountOfKey.find(truncated(digest));
    if (found == m_accountOfKey.end())
        return std::nullopt;
    const Account& account = m_accounts[found->second];
    return AccountMatch { account.name, account.priority, fingerprintOf(digest) };
}

} // namespace laburnum
