#include "claim_wait_pvt.h"

#include <asio/post.hpp>

#include "http_stream_pvt.h"

namespace laburnum::pvt {

ClaimWait::ClaimWait(const asio::any_io_executor& strand, ClaimClient& gate)
    : m_event(strand)
    , m_gate(gate)
{
}

void ClaimWait::ask(const ClaimSpec& demand)
{
    m_gate.begin(demand, [self = shared_from_this()](ClaimDecision decision) {
        asio::post(self->m_event.get_executor(), [self, decision = std::move(decision)]() mutable {
            self->settle(std::move(decision));
        });
    });
}

void ClaimWait::settle(ClaimDecision decision)
{
    if (m_abandoned) {
        if (decision.verdict == ClaimVerdict::Run)
            m_gate.finish(decision.claim, ClaimOutcome::NotRun, nullptr);
        return;
    }
    m_decision = std::move(decision);
    m_event.cancel();
}

asio::awaitable<std::optional<ClaimDecision>> ClaimWait::decision(SteadyTime limit)
{
    const auto self = shared_from_this();
    if (!m_decision) {
        m_event.expires_at(limit);
        co_await m_event.async_wait(useTuple);
    }
    m_abandoned = !m_decision;
    co_return std::move(m_decision);
}

} // namespace laburnum::pvt
