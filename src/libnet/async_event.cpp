#include "async_event_pvt.h"

#include "http_stream_pvt.h"

namespace laburnum::pvt {

void AsyncEvent::set()
{
    m_raised = true;
    m_timer.cancel();
}

asio::awaitable<void> AsyncEvent::wait(SteadyTime limit)
{
    if (!m_raised) {
        m_timer.expires_at(limit);
        co_await m_timer.async_wait(useTuple);
    }
    m_raised = false;
}

} // namespace laburnum::pvt
