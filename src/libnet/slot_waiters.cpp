#include "slot_waiters_pvt.h"

#include <asio/post.hpp>

#include "http_stream_pvt.h"

namespace laburnum::pvt {

bool SlotWaiters::add(WaiterId id, const std::shared_ptr<Waiter>& waiter)
{
    const std::lock_guard lock(m_mutex);
    if (m_earlyWakes.erase(id) != 0)
        return false;
    m_waiters[id] = waiter;
    return true;
}

asio::awaitable<bool> SlotWaiters::wait(
    WaiterId id, const asio::any_io_executor& strand, SteadyTime limit)
{
    const auto waiter = std::make_shared<Waiter>(strand);
    waiter->event.expires_at(limit);
    if (!add(id, waiter))
        co_return true;
    if (!waiter->woken)
        co_await waiter->event.async_wait(useTuple);
    const std::lock_guard lock(m_mutex);
    m_waiters.erase(id);
    co_return waiter->woken;
}

void SlotWaiters::cancel(WaiterId id)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_waiters.find(id);
    if (found != m_waiters.end())
        found->second->event.cancel();
}

void SlotWaiters::wake(const std::vector<WaiterId>& ids)
{
    const std::lock_guard lock(m_mutex);
    for (const WaiterId& id : ids) {
        const auto found = m_waiters.find(id);
        if (found == m_waiters.end()) {
            m_earlyWakes.insert(id);
            if (m_earlyWakes.size() > maxEarlyWakes)
                m_earlyWakes.erase(m_earlyWakes.begin());
            continue;
        }
        asio::post(found->second->event.get_executor(), [waiter = found->second] {
            waiter->woken = true;
            waiter->event.cancel();
        });
    }
}

} // namespace laburnum::pvt
