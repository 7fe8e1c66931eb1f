#include "claim_wait_pvt.h"

#include <asio/post.hpp>

#include "http_stream_pvt.h"

namespace laburnum::pvt {

ClaimWait::ClaimWait(const asio::any_io_executor& strand, ClaimGate& gate)
    : m_event(strand)
    , m_gate(gate)
{
}

void ClaimWait::ask(
    const ServiceId& service, const IdempotencyKey& key, const RequestFingerprint& fingerprint)
{
    m_gate.begin(service, key, fingerprint, [self = shared_from_this()](ClaimDecision decision) {
        asio::post(self->m_event.get_executor(), [self, decision = std::move(decision)]() mutable {
            self->settle(std::move(decision));
        });
    });
}

void ClaimWait::settle(ClaimDecision decision)
{
    if (m_abandoned) {
        if (const auto* run = std::get_if<ClaimRun>(&decision))
            m_gate.finish(run->claim, { ClaimOutcome::Kind::NotRun, std::nullopt });
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
