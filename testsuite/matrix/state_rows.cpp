// Rows of the durable state, from the proposal of a change to the replacement of a host.

#include <array>

#include "matrix/matrix.h"
#include "matrix/state_scenario.h"

namespace laburnum::matrix {

namespace {

    using fakes::StateEvent;

    constexpr std::array stepTable {
        StateStep { "propose", StateEvent::Propose, Preparation::None, true, true },
        StateStep { "append", StateEvent::Append, Preparation::None, true, false },
        StateStep { "sync", StateEvent::Sync, Preparation::None, true, false },
        StateStep { "replicate", StateEvent::Replicate, Preparation::None, true, true },
        StateStep { "commit", StateEvent::Commit, Preparation::None, false, true },
        StateStep { "apply", StateEvent::Apply, Preparation::None, false, false },
        StateStep { "spread", StateEvent::Heartbeat, Preparation::None, false, true },
        StateStep { "acknowledge", StateEvent::Acknowledge, Preparation::None, false, true },
        StateStep { "snapshot", StateEvent::Snapshot, Preparation::None, true, false },
        StateStep { "truncate", StateEvent::Truncate, Preparation::None, true, false },
        StateStep { "restart", StateEvent::Restart, Preparation::RestartHost, true, true },
        StateStep { "join", StateEvent::Join, Preparation::EmptyDisk, true, true },
        StateStep { "replace", StateEvent::MembershipCommit, Preparation::EmptyDisk, true, true },
    };

    class StateRow final : public Row {
    public:
        explicit StateRow(const StateStep& step)
            : m_step(step)
        {
        }

        std::optional<std::string> skipReason(Fault fault) const override
        {
            const bool isWrite = fault == Fault::DiskFull || fault == Fault::FailedSync
                || fault == Fault::TornWrite;
            if (isWrite && !m_step.writes)
                return "the step writes nothing; see append";
            const bool isMessage
                = fault == Fault::Delay || fault == Fault::Duplicate || fault == Fault::Reorder;
            if (isMessage && !m_step.sends)
                return "the step sends nothing; see replicate";
            return std::nullopt;
        }

        std::vector<std::string> run(const CellRequest& request) override
        {
            return StateScenario(m_step, request).run();
        }

    private:
        const StateStep& m_step;
    };

    /// Mutations that the invariant checks must detect.
    class StateMutationSource final : public MutationSource {
    public:
        std::vector<Mutation> mutations() const override
        {
            return {
                { "acknowledge", { Fault::Crash, {}, 1, "sync-lies" } },
                { "commit", { Fault::LostDisk, {}, 1, "keeps-identity" } },
                { "propose", { Fault::OperatorRace, {}, 1, "ignores-expected" } },
                { "replicate", { Fault::CutOut, {}, 1, "forges-votes" } },
            };
        }
    };

    bool registerRows()
    {
        for (const StateStep& step : stepTable)
            RowRegistry::instance().add(
                step.name, [&step] { return std::make_unique<StateRow>(step); });
        return true;
    }

    const bool rowsRegistered = registerRows();
    const Registration<MutationRegistry> mutationsRegistered(
        "state", [] { return std::make_unique<StateMutationSource>(); });

} // namespace

} // namespace laburnum::matrix
