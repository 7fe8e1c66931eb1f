#include "request_body_pvt.h"

namespace laburnum::pvt {

void RequestBody::keep(const std::string& part)
{
    m_bytes += part.size();
    if (m_overflown)
        return;
    if (m_kept.size() + part.size() > m_replayLimit) {
        // What is still to be handed out stays; nothing can be handed out twice any more.
        m_overflown = true;
        m_kept.erase(0, m_position);
        m_position = 0;
        m_kept.shrink_to_fit();
        return;
    }
    m_kept += part;
}

std::string RequestBody::takeAtHand()
{
    std::string fresh = m_caller.takeBufferedBody();
    if (!fresh.empty())
        keep(fresh);
    std::string part = m_kept.substr(m_position);
    if (m_overflown) {
        part += fresh;
        m_kept.clear();
        m_position = 0;
    } else {
        m_position = m_kept.size();
    }
    return part;
}

asio::awaitable<Expected<std::string>> RequestBody::readPart()
{
    std::string part = takeAtHand();
    if (!part.empty() || m_caller.messageComplete())
        co_return part;
    auto fresh = co_await m_caller.readBodyPart();
    if (!fresh)
        co_return fresh;
    keep(*fresh);
    if (!m_overflown)
        m_position = m_kept.size();
    co_return fresh;
}

asio::awaitable<Expected<void>> RequestBody::readAhead(std::size_t wanted)
{
    const auto append = [this](const std::string& part) {
        m_bytes += part.size();
        m_kept += part;
    };
    append(m_caller.takeBufferedBody());
    while (!complete() && m_kept.size() < wanted) {
        auto part = co_await m_caller.readBodyPart();
        if (!part)
            co_return tl::unexpected<Error>(part.error());
        append(*part);
    }
    co_return Expected<void> {};
}

} // namespace laburnum::pvt
