#include "request_body_pvt.h"

#include <algorithm>

namespace laburnum::pvt {

void RequestBody::store(const std::string& part)
{
    m_bytes += part.size();
    if (m_overflowed)
        return;
    const std::size_t size = m_buffer.size() + part.size();
    if (size > m_replayLimit || !m_share.tryGrow(size)) {
        // Only the bytes that have not been returned yet are needed; rewind() is no longer allowed.
        m_overflowed = true;
        m_buffer.erase(0, m_position);
        m_position = 0;
        m_buffer.shrink_to_fit();
        m_share.set(m_buffer.size());
        return;
    }
    m_buffer += part;
}

std::vector<HeaderField> RequestBody::trailers() const
{
    std::vector<HeaderField> fields = m_caller.trailers();
    std::erase_if(fields, [this](const HeaderField& field) {
        return std::any_of(m_removedTrailers.begin(), m_removedTrailers.end(),
            [&](const std::string& name) { return equalsIgnoreCase(field.name, name); });
    });
    return fields;
}

std::string RequestBody::takeBuffered()
{
    std::string fresh = m_caller.takeBufferedBody();
    if (!fresh.empty())
        store(fresh);
    std::string part = m_buffer.substr(m_position);
    if (m_overflowed) {
        part += fresh;
        m_buffer.clear();
        m_position = 0;
        m_share.set(0);
    } else {
        m_position = m_buffer.size();
    }
    return part;
}

asio::awaitable<Expected<std::string>> RequestBody::readPart()
{
    std::string part = takeBuffered();
    if (!part.empty() || m_caller.messageComplete())
        co_return part;
    auto fresh = co_await m_caller.readBodyPart();
    if (!fresh)
        co_return fresh;
    store(*fresh);
    if (!m_overflowed)
        m_position = m_buffer.size();
    co_return fresh;
}

asio::awaitable<Expected<void>> RequestBody::readAhead(std::size_t wanted)
{
    const auto append = [this](const std::string& part) {
        m_bytes += part.size();
        m_buffer += part;
        m_share.set(m_buffer.size());
    };
    append(m_caller.takeBufferedBody());
    while (!complete() && m_buffer.size() < wanted) {
        auto part = co_await m_caller.readBodyPart();
        if (!part)
            co_return tl::unexpected<Error>(part.error());
        append(*part);
    }
    co_return Expected<void> {};
}

} // namespace laburnum::pvt
