/// Bound on the bytes that an entry host holds for all its connections together. No I/O.
///
/// Load pattern: many callers read their responses slowly, or instances read uploads slowly, at the
/// same time. Each exchange holds what one side has sent and the other has not read. Beyond the
/// limit an exchange holds only its free share, and its sender waits for its own reader. An
/// exchange never waits for bytes that another one holds, so short exchanges are not delayed.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>

namespace laburnum {

/// Safe from any thread.
class BufferBudget {
public:
    /// Bytes that each share may hold even if the limit is reached: one read of a connection.
    static constexpr std::size_t freeShareBytes = std::size_t { 16 } * 1024;

    explicit BufferBudget(std::size_t limit)
        : m_limit(limit)
    {
    }

    /// Adds `bytes` if they fit below the limit.
    bool tryAdd(std::size_t bytes);
    /// Adds `bytes` that are held already or cannot be refused.
    void add(std::size_t bytes);
    void remove(std::size_t bytes) { m_held -= bytes; }
    /// Whether a new share of `bytes` would be granted now.
    bool hasRoom(std::size_t bytes) const
    {
        return bytes <= freeShareBytes || m_held + bytes <= m_limit;
    }

    std::size_t limit() const { return m_limit; }
    /// Bytes held now, and the most that were held at once.
    std::size_t held() const { return m_held; }
    std::size_t peak() const { return m_peak; }
    /// How often an exchange was refused more bytes.
    std::uint64_t refusals() const { return m_refusals; }

private:
    void raisePeak(std::size_t held);

    const std::size_t m_limit;
    std::atomic<std::size_t> m_held { 0 };
    std::atomic<std::size_t> m_peak { 0 };
    std::atomic<std::uint64_t> m_refusals { 0 };
};

/// The part of a budget that one buffer takes; returned on destruction. Keeps the budget alive,
/// because the buffers of a context that is destroyed end in no fixed order.
class BufferShare {
public:
    explicit BufferShare(std::shared_ptr<BufferBudget> budget)
        : m_budget(std::move(budget))
    {
    }
    ~BufferShare() { set(0); }
    /// A copy of a buffer takes as much as the buffer.
    BufferShare(const BufferShare& other);
    BufferShare& operator=(const BufferShare&) = delete;
    /// Leaves `other` empty, with its budget.
    BufferShare(BufferShare&& other) noexcept;
    BufferShare& operator=(BufferShare&& other) noexcept;

    /// Changes the share to `bytes`. Returns false, without a change, if it would grow beyond the
    /// free share and the limit of the budget.
    bool tryGrow(std::size_t bytes);
    /// Changes the share to `bytes`, which are held already.
    void set(std::size_t bytes);
    std::size_t bytes() const { return m_bytes; }

private:
    std::shared_ptr<BufferBudget> m_budget;
    std::size_t m_bytes = 0;
};

} // namespace laburnum
