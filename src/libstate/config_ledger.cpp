#include <laburnumroute/config_ledger.h>

#include <algorithm>

#include <xxhash.h>

namespace laburnum {

namespace {

    constexpr std::size_t maxListedChanges = 5; // changes listed in a conflict message

    std::uint64_t hashOf(const ConfigChange& change)
    {
        const std::string text = change.restored
            ? "restore " + std::to_string(change.restored->value())
            : "content " + change.content;
        return XXH64(text.data(), text.size(), 0);
    }

    std::string describe(const ConfigRecord& record)
    {
        std::string text = "revision " + std::to_string(record.revision.value()) + " by change '"
            + record.change.value() + "'";
        return record.note.empty() ? text : text + " (" + record.note + ")";
    }

} // namespace

Expected<Revision> ConfigLedger::apply(const ConfigChange& change)
{
    const std::uint64_t hash = hashOf(change);
    if (auto earlier = previousResult(change, hash))
        return *earlier;
    if (change.expected != m_current.revision) {
        recordOutcome(change.id, { hash, change.expected, std::nullopt });
        return conflictError(change);
    }
    std::string content = change.content;
    if (change.restored) {
        auto version = this->version(*change.restored);
        if (!version)
            return tl::unexpected<Error>(version.error());
        content = std::move(version->content);
    }
    accept(change, std::move(content));
    recordOutcome(change.id, { hash, change.expected, m_current.revision });
    return m_current.revision;
}

std::optional<Expected<Revision>> ConfigLedger::previousResult(
    const ConfigChange& change, std::uint64_t hash) const
{
    const auto found = m_outcomes.find(change.id);
    if (found == m_outcomes.end())
        return std::nullopt;
    const Outcome& outcome = found->second;
    if (outcome.revision && outcome.contentHash == hash)
        return Expected<Revision>(*outcome.revision);
    if (outcome.revision)
        return Expected<Revision>(fail(ErrorCode::Conflict,
            "change id '" + change.id.value() + "' was already used for other content, in revision "
                + std::to_string(outcome.revision->value())));
    if (outcome.contentHash == hash && outcome.expected == change.expected)
        return Expected<Revision>(conflictError(change));
    return std::nullopt;
}

tl::unexpected<Error> ConfigLedger::conflictError(const ConfigChange& change) const
{
    std::string message = "expected revision " + std::to_string(change.expected.value())
        + ", but revision " + std::to_string(m_current.revision.value())
        + " is in force, made by change '" + m_current.change.value() + "'";
    std::size_t named = 0;
    for (auto record = m_history.rbegin(); record != m_history.rend(); ++record) {
        if (record->revision <= change.expected || named == maxListedChanges)
            break;
        message += (named++ == 0 ? "; since then: " : ", ") + describe(*record);
    }
    return fail(ErrorCode::Conflict, message);
}

void ConfigLedger::recordOutcome(const ChangeId& id, const Outcome& outcome)
{
    if (!m_outcomes.contains(id))
        m_changeOrder.push_back(id);
    m_outcomes[id] = outcome;
    while (m_changeOrder.size() > maxChangeIds) {
        m_outcomes.erase(m_changeOrder.front());
        m_changeOrder.pop_front();
    }
}

void ConfigLedger::accept(const ConfigChange& change, std::string content)
{
    if (m_current.revision != Revision(0)) {
        m_earlierBytes += m_current.content.size();
        m_earlierVersions.push_back(std::move(m_current));
    }
    while (
        m_earlierVersions.size() > maxEarlierContents || m_earlierBytes > maxEarlierContentBytes) {
        m_earlierBytes -= m_earlierVersions.front().content.size();
        m_earlierVersions.pop_front();
    }
    const Revision revision = next(m_history.empty() ? Revision(0) : m_history.back().revision);
    m_current = { revision, change.id, std::move(content) };
    m_history.push_back({ revision, change.id, change.note, change.restored });
    if (m_history.size() > maxChangeIds)
        m_history.pop_front();
}

Expected<ConfigVersion> ConfigLedger::version(Revision revision) const
{
    if (revision == m_current.revision)
        return m_current;
    const auto found = std::find_if(m_earlierVersions.begin(), m_earlierVersions.end(),
        [&](const ConfigVersion& version) { return version.revision == revision; });
    if (found == m_earlierVersions.end())
        return fail(ErrorCode::NotFound,
            "the content of revision " + std::to_string(revision.value()) + " is no longer kept");
    return *found;
}

} // namespace laburnum
