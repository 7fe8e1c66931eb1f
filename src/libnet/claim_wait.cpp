#include "claim_wait_pvt.h"

#include <asio/post.hpp>

#include "http_stream_pvt.h"

namespace laburnum::pvt {

ClaimWaiter::ClaimWaiter(const asio::any_io_executor& strand, ClaimClient& client)
    : m_event(strand)
    , m_client(client)
{
}

void ClaimWaiter::submit(const ClaimSpec& spec)
{
    m_client.begin(spec, [self = shared_from_this()](ClaimDecision decision) {
        asio::post(self->m_event.get_executor(), [self, decision = std::move(decision)]() mutable {
            self->onDecision(std::move(decision));
        });
    });
}

void ClaimWaiter::onDecision(ClaimDecision decision)
{
    if (m_abandoned) {
        if (decision.verdict == ClaimVerdict::Run)
            m_client.finish(decision.claim, ClaimOutcome::NotRun, nullptr);
        return;
    }
    m_decision = std::move(decision);
    m_event.cancel();
}

asio::awaitable<std::optional<ClaimDecision>> ClaimWaiter::awaitDecision(SteadyTime limit)
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
