#include "watchdog_pvt.h"

namespace laburnum::pvt {

/// Kept alive by the pending timer handler after the watchdog is destroyed.
struct Watchdog::State : std::enable_shared_from_this<State> {
    explicit State(const asio::any_io_executor& strand)
        : timer(strand)
    {
    }

    void arm(SteadyTime at)
    {
        armedFor = at;
        timer.expires_at(at);
        timer.async_wait([self = shared_from_this()](std::error_code code) {
            if (!code)
                self->onTimer();
        });
    }

    void onTimer()
    {
        armedFor = SteadyTime::max();
        if (!onExpiry)
            return;
        if (limit > std::chrono::steady_clock::now())
            return arm(limit);
        std::exchange(onExpiry, nullptr)();
    }

    asio::steady_timer timer;
    SteadyTime limit;
    SteadyTime armedFor = SteadyTime::max();
    std::function<void()> onExpiry;
};

Watchdog::Watchdog(const asio::any_io_executor& strand)
    : m_state(std::make_shared<State>(strand))
{
}

Watchdog::~Watchdog()
{
    m_state->onExpiry = nullptr;
    m_state->timer.cancel();
}

void Watchdog::watch(SteadyTime limit, std::function<void()> onExpiry)
{
    m_state->limit = limit;
    m_state->onExpiry = std::move(onExpiry);
    if (limit < m_state->armedFor)
        m_state->arm(limit);
}

void Watchdog::watch(Duration limit, std::function<void()> onExpiry)
{
    watch(std::chrono::steady_clock::now()
            + std::chrono::duration_cast<std::chrono::steady_clock::duration>(limit),
        std::move(onExpiry));
}

void Watchdog::clear() { m_state->onExpiry = nullptr; }

void Watchdog::expire()
{
    if (m_state->onExpiry)
        std::exchange(m_state->onExpiry, nullptr)();
}

} // namespace laburnum::pvt
