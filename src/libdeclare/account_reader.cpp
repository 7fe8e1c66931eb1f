// Reads the tables [[account]] and checks them against each other; see config_reader_pvt.h.

#include "config_reader_pvt.h"

#include <algorithm>
#include <map>

namespace laburnum::pvt {

namespace {

    constexpr std::int64_t maxPriority = 1000;
    constexpr std::int64_t maxRate = 1'000'000'000;

    bool isVisibleText(std::string_view text)
    {
        constexpr unsigned char deleteCharacter = 0x7f;
        return std::none_of(text.begin(), text.end(), [](char c) {
            const auto byte = static_cast<unsigned char>(c);
            return byte < ' ' || byte == deleteCharacter;
        });
    }

    /// Whether a client can send `key` as the value of a header field.
    bool isFieldValue(std::string_view key)
    {
        return key.front() != ' ' && key.back() != ' ' && isVisibleText(key);
    }

    std::uint32_t readRate(TableReader& reader, const std::string& key)
    {
        return static_cast<std::uint32_t>(reader.integer(key, 0, 0, maxRate));
    }

    void readKeys(TableReader& reader, LocatedAccount& account)
    {
        reader.texts("keys"); // reports wrong types
        const toml::value* keys = reader.find("keys");
        if (!keys || !keys->is_array())
            return;
        for (const auto& item : keys->as_array()) {
            if (!item.is_string())
                continue;
            const std::string& key = item.as_string().str;
            const SourceLocation location = reader.locationOf(item);
            if (key.empty())
                reader.findings().error(location, "a key must not be empty");
            else if (!isFieldValue(key))
                reader.findings().warning(location,
                    "no client can send this key: it begins or ends with a blank or has control "
                    "characters");
            account.spec.keys.push_back(key);
            account.keys.push_back(location);
        }
    }

    std::string lineOf(const SourceLocation& location)
    {
        return "line " + std::to_string(location.line);
    }

} // namespace

LocatedAccount readAccount(const toml::value& table, const std::string& file, Findings& findings)
{
    TableReader reader(table, file, findings);
    LocatedAccount account;
    account.spec.name = ClientAccountId(reader.text("name", "", true));
    account.name = reader.locationOfValue("name");
    if (reader.has("name") && account.spec.name.value().empty())
        reader.errorAt("name", "the name of an account must not be empty");
    if (!isVisibleText(account.spec.name.value()))
        reader.errorAt("name",
            "the name of an account must not have control characters: instances get it in a header "
            "field");
    readKeys(reader, account);
    if (reader.has("priority"))
        account.spec.priority
            = static_cast<std::uint32_t>(reader.integer("priority", 0, 0, maxPriority));
    account.spec.ratePerSecond = readRate(reader, "rate_per_s");
    account.spec.burst = readRate(reader, "burst");
    reader.reportUnknownKeys();
    return account;
}

// Messages name accounts and lines, never keys: they appear in logs and answers.
void checkAccounts(const std::vector<LocatedAccount>& accounts, Findings& findings)
{
    std::map<ClientAccountId, SourceLocation> names;
    struct KeyOwner {
        std::size_t account;
        SourceLocation location;
    };
    std::map<std::string, KeyOwner> owners;
    for (std::size_t index = 0; index < accounts.size(); ++index) {
        const LocatedAccount& account = accounts[index];
        const std::string& name = account.spec.name.value();
        const auto [known, isNew] = names.emplace(account.spec.name, account.name);
        if (!isNew && !name.empty())
            findings.error(account.name,
                "account '" + name + "' is declared twice; first in " + lineOf(known->second));
        for (std::size_t i = 0; i < account.keys.size(); ++i) {
            const std::string& key = account.spec.keys[i];
            const auto [owner, inserted] = owners.emplace(key, KeyOwner { index, account.keys[i] });
            if (inserted || key.empty())
                continue;
            std::string message = "account '" + name + "' has ";
            if (owner->second.account == index)
                message += "this key twice; first in ";
            else
                message.append("a key of account '")
                    .append(accounts[owner->second.account].spec.name.value())
                    .append("' in ");
            findings.error(account.keys[i], message + lineOf(owner->second.location));
        }
    }
}

void refuseAccounts(const std::vector<LocatedAccount>& accounts,
    const std::vector<LocatedRoute>& routes, Findings& findings)
{
    for (const auto& account : accounts)
        findings.error(account.name, "a listed fleet does not enforce accounts");
    for (const auto& route : routes) {
        if (route.spec.anonymous)
            findings.error(route.table, "a listed fleet does not enforce accounts: 'anonymous'");
    }
}

} // namespace laburnum::pvt
