#include <laburnumroute/config_ledger.h>

#include <functional>

namespace laburnum {

Expected<Revision> ConfigLedger::apply(const ConfigChange& change)
{
    const std::size_t hash = std::hash<std::string> {}(change.content);
    const auto applied = m_applied.find(change.id);
    if (applied != m_applied.end()) {
        if (applied->second.contentHash == hash)
            return applied->second.revision;
        return fail(ErrorCode::Conflict,
            "change id '" + change.id.value() + "' was already used for other content, in revision "
                + std::to_string(applied->second.revision.value()));
    }
    if (change.expected != m_current.revision)
        return fail(ErrorCode::Conflict,
            "expected revision " + std::to_string(change.expected.value()) + ", but revision "
                + std::to_string(m_current.revision.value()) + " is in force, made by change '"
                + m_current.change.value() + "'");
    m_current = { next(m_current.revision), change.id, change.content };
    m_applied[change.id] = { m_current.revision, hash };
    return m_current.revision;
}

} // namespace laburnum
