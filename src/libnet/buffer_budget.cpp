#include <laburnumroute/buffer_budget.h>

namespace laburnum {

bool BufferBudget::tryAdd(std::size_t bytes)
{
    std::size_t held = m_held;
    do {
        if (bytes > m_limit || held > m_limit - bytes) {
            ++m_refusals;
            return false;
        }
    } while (!m_held.compare_exchange_weak(held, held + bytes));
    raisePeak(held + bytes);
    return true;
}

void BufferBudget::add(std::size_t bytes) { raisePeak(m_held += bytes); }

void BufferBudget::raisePeak(std::size_t held)
{
    std::size_t peak = m_peak;
    while (peak < held && !m_peak.compare_exchange_weak(peak, held)) { }
}

BufferShare::BufferShare(const BufferShare& other)
    : m_budget(other.m_budget)
{
    set(other.m_bytes);
}

BufferShare::BufferShare(BufferShare&& other) noexcept
    : BufferShare(std::shared_ptr<BufferBudget>(other.m_budget))
{
    std::swap(m_bytes, other.m_bytes);
}

BufferShare& BufferShare::operator=(BufferShare&& other) noexcept
{
    std::swap(m_budget, other.m_budget);
    std::swap(m_bytes, other.m_bytes);
    return *this;
}

bool BufferShare::tryGrow(std::size_t bytes)
{
    if (bytes <= m_bytes || bytes <= BufferBudget::freeShareBytes) {
        set(bytes);
        return true;
    }
    if (!m_budget->tryAdd(bytes - m_bytes))
        return false;
    m_bytes = bytes;
    return true;
}

void BufferShare::set(std::size_t bytes)
{
    if (bytes > m_bytes)
        m_budget->add(bytes - m_bytes);
    else
        m_budget->remove(m_bytes - bytes);
    m_bytes = bytes;
}

} // namespace laburnum
