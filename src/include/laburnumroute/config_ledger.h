/// The ledger of configuration revisions: a deterministic state machine to which every member
/// applies the committed changes in log order.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <laburnumroute/error.h>
#include <laburnumroute/ids.h>

namespace laburnum {

/// A submitted change: the whole new content, accepted only if `expected` is the current revision.
struct ConfigChange {
    ChangeId id;
    Revision expected;
    std::string content;
    /// The operator's comment for the history; may be empty.
    std::string note;
    /// Restores the content of this earlier revision; `content` is ignored.
    std::optional<Revision> restored;
};

/// An accepted revision with its content.
struct ConfigVersion {
    Revision revision;
    ChangeId change;
    std::string content;
};

/// A history entry.
struct ConfigRecord {
    Revision revision;
    ChangeId change;
    std::string note;
    /// The earlier revision whose content was restored.
    std::optional<Revision> restored;
};

/// Compare-and-set on the revision, with deduplication by change id. No I/O; not thread-safe.
class ConfigLedger {
public:
    /// Change ids kept for deduplication; the oldest are dropped first. Covers two days at 16,000
    /// changes a day. A resend of a dropped id fails with Conflict because of its old expected
    /// revision.
    static constexpr std::size_t maxChangeIds = 32768;
    /// Limits on the earlier contents that are kept.
    static constexpr std::size_t maxEarlierContents = 64;
    static constexpr std::size_t maxEarlierContentBytes = std::size_t { 16 } << 20U;

    /// Applies `change`. A resend of an accepted change with the same content returns the first
    /// result; a resend of a refused change with the same `expected` is refused again. Conflict
    /// when `expected` is not the current revision (the message names both and the changes in
    /// between) or when the id was used for other content. NotFound when the content to restore is
    /// no longer kept.
    Expected<Revision> apply(const ConfigChange& change);

    /// The newest accepted version; revision 0 with empty content before the first change.
    const ConfigVersion& current() const noexcept { return m_current; }
    /// The most recent accepted changes, at most maxChangeIds, oldest first.
    const std::deque<ConfigRecord>& history() const noexcept { return m_history; }
    /// The version with `revision`; NotFound when its content is no longer kept.
    Expected<ConfigVersion> version(Revision revision) const;

    /// Serializes the whole ledger.
    std::string snapshot() const;
    /// Replaces the ledger by one serialized by snapshot(); empty bytes give an empty ledger.
    /// Corrupt on anything else.
    Expected<void> restore(std::string_view bytes);

private:
    /// The result recorded for a change id.
    struct Outcome {
        std::uint64_t contentHash = 0;
        Revision expected;
        /// Empty when the change was refused.
        std::optional<Revision> revision;
    };

    std::optional<Expected<Revision>> previousResult(
        const ConfigChange& change, std::uint64_t hash) const;
    tl::unexpected<Error> conflictError(const ConfigChange& change) const;
    void recordOutcome(const ChangeId& id, const Outcome& outcome);
    void accept(const ConfigChange& change, std::string content);

    ConfigVersion m_current;
    std::deque<ConfigRecord> m_history;
    std::deque<ConfigVersion> m_earlierVersions;
    std::size_t m_earlierBytes = 0;
    std::map<ChangeId, Outcome> m_outcomes;
    std::deque<ChangeId> m_changeOrder;
};

/// JSON text of `change`, used as the command in the log.
std::string encodeConfigChange(const ConfigChange& change);
/// Decodes the output of encodeConfigChange(); InvalidArgument on anything else.
Expected<ConfigChange> decodeConfigChange(std::string_view text);

} // namespace laburnum
