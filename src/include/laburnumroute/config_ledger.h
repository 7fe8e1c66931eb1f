/// The ledger of configuration revisions: a deterministic state machine that every voter applies
/// committed changes to, in the order of the log.
#pragma once

#include <map>
#include <string>

#include <laburnumroute/error.h>
#include <laburnumroute/ids.h>

namespace laburnum {

/// A submitted change: the whole new content, valid only on top of `expected`.
struct ConfigChange {
    ChangeId id;
    Revision expected;
    std::string content;
};

/// One accepted revision with its content.
struct ConfigVersion {
    Revision revision;
    ChangeId change;
    std::string content;
};

/// Compare-and-set over revisions with memory of change ids. No I/O; not thread-safe.
class ConfigLedger {
public:
    /// Applies `change`. A resend of an applied change id with the same content returns the first
    /// result. Conflict when `expected` is not the current revision, naming both, or when the id
    /// was used for other content.
    Expected<Revision> apply(const ConfigChange& change);

    /// The newest accepted version; revision 0 with empty content before the first.
    const ConfigVersion& current() const noexcept { return m_current; }

private:
    struct Applied {
        Revision revision;
        std::size_t contentHash = 0;
    };

    ConfigVersion m_current;
    std::map<ChangeId, Applied> m_applied;
};

} // namespace laburnum
