/// The ledger of configuration revisions: a deterministic state machine that every voter applies
/// committed changes to, in the order of the log.
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

/// A submitted change: the whole new content, valid only on top of `expected`.
struct ConfigChange {
    ChangeId id;
    Revision expected;
    std::string content;
    /// An operator's remark for the history; may be empty.
    std::string note;
    /// Takes the content of this earlier revision instead of `content`.
    std::optional<Revision> restored;
};

/// One accepted revision with its content.
struct ConfigVersion {
    Revision revision;
    ChangeId change;
    std::string content;
};

/// One line of the history.
struct ConfigRecord {
    Revision revision;
    ChangeId change;
    std::string note;
    /// The earlier revision whose content it took.
    std::optional<Revision> restored;
};

/// Compare-and-set over revisions with memory of change ids. No I/O; not thread-safe.
class ConfigLedger {
public:
    /// Change ids that are remembered; the oldest are forgotten first. Two days at 16,000 changes a
    /// day. A resend of a forgotten id is refused because of its old expected revision.
    static constexpr std::size_t rememberedChanges = 32768;
    /// Earlier contents that are kept, by number and by bytes.
    static constexpr std::size_t keptContents = 64;
    static constexpr std::size_t keptContentBytes = std::size_t { 16 } << 20U;

    /// Applies `change`. A resend of an applied change id with the same content returns the first
    /// result; one of a refused change with the same expectation is refused again. Conflict when
    /// `expected` is not the current revision, naming both and what changed in between, or when
    /// the id was used for other content. NotFound when the content to restore is no longer kept.
    Expected<Revision> apply(const ConfigChange& change);

    /// The newest accepted version; revision 0 with empty content before the first.
    const ConfigVersion& current() const noexcept { return m_current; }
    /// Accepted changes, oldest first, as far as they are remembered.
    const std::deque<ConfigRecord>& history() const noexcept { return m_history; }
    /// The version with `revision`; NotFound when its content is no longer kept.
    Expected<ConfigVersion> version(Revision revision) const;

    /// The whole ledger as bytes.
    std::string snapshot() const;
    /// Replaces the ledger by what snapshot() gave; empty bytes give the empty ledger. Corrupt on
    /// anything else.
    Expected<void> restore(std::string_view bytes);

private:
    /// What became of a change id.
    struct Outcome {
        std::uint64_t contentHash = 0;
        Revision expected;
        /// Nothing when it was refused.
        std::optional<Revision> revision;
    };

    std::optional<Expected<Revision>> earlierResult(
        const ConfigChange& change, std::uint64_t hash) const;
    tl::unexpected<Error> refusal(const ConfigChange& change) const;
    void remember(const ChangeId& id, const Outcome& outcome);
    void accept(const ConfigChange& change, std::string content);

    ConfigVersion m_current;
    std::deque<ConfigRecord> m_history;
    std::deque<ConfigVersion> m_earlier;
    std::size_t m_earlierBytes = 0;
    std::map<ChangeId, Outcome> m_outcomes;
    std::deque<ChangeId> m_order;
};

/// JSON text of `change`, as it stands in the log.
std::string encodeConfigChange(const ConfigChange& change);
/// Reads what encodeConfigChange() wrote; InvalidArgument on anything else.
Expected<ConfigChange> decodeConfigChange(std::string_view text);

} // namespace laburnum
