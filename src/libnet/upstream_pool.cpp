#include "upstream_pool_pvt.h"

namespace laburnum::pvt {

std::shared_ptr<HttpStream> UpstreamPool::take(const InstanceId& instance, Duration maxIdle)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_idle.find(instance);
    if (found == m_idle.end())
        return nullptr;
    const auto now = std::chrono::steady_clock::now();
    std::shared_ptr<HttpStream> result;
    while (!found->second.empty() && !result && now - found->second.back().idleSince <= maxIdle) {
        IdleConnection idle = std::move(found->second.back());
        found->second.pop_back();
        if (now < idle.expiry && idle.stream->isIdle())
            result = std::move(idle.stream);
    }
    if (found->second.empty())
        m_idle.erase(found);
    return result;
}

void UpstreamPool::put(const InstanceId& instance, std::shared_ptr<HttpStream> stream)
{
    stream->releaseReadBuffer();
    const auto now = std::chrono::steady_clock::now();
    const auto expiry
        = now + std::chrono::duration_cast<std::chrono::steady_clock::duration>(m_idleTimeout);
    const std::lock_guard lock(m_mutex);
    auto& idle = m_idle[instance];
    idle.push_back({ std::move(stream), now, expiry });
    if (idle.size() > m_idlePerInstance)
        idle.pop_front();
}

void UpstreamPool::sweep()
{
    const auto now = std::chrono::steady_clock::now();
    const std::lock_guard lock(m_mutex);
    for (auto& [instance, idle] : m_idle)
        std::erase_if(idle, [&](const IdleConnection& item) {
            return now >= item.expiry || !item.stream->isIdle();
        });
    std::erase_if(m_idle, [](const auto& item) { return item.second.empty(); });
}

void UpstreamPool::clear()
{
    const std::lock_guard lock(m_mutex);
    m_idle.clear();
}

} // namespace laburnum::pvt
