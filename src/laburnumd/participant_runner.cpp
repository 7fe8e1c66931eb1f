#include "participant_runner.h"

#include <algorithm>

namespace laburnum {

ParticipantRunner::ParticipantRunner(asio::io_context& context, HostId self,
    PeerTransport& transport, const Clock& clock, DecisionLog& log)
    : m_strand(asio::make_strand(context))
    , m_self(std::move(self))
    , m_transport(transport)
    , m_clock(clock)
    , m_log(log)
{
}

void ParticipantRunner::add(Participant& participant)
{
    m_participants.push_back(&participant);
    for (const auto& method : participant.methods()) {
        m_transport.addHandler(method, [this](PeerMessage message) {
            asio::post(m_strand, [this, message = std::move(message)] { handle(message); });
        });
    }
}

void ParticipantRunner::start()
{
    for (Participant* participant : m_participants) {
        auto timer = std::make_unique<asio::steady_timer>(m_strand);
        m_tickers.push_back(std::make_unique<Ticker>(Ticker { participant, std::move(timer) }));
    }
    asio::post(m_strand, [this] {
        for (auto& ticker : m_tickers)
            schedule(*ticker);
    });
}

void ParticipantRunner::stop()
{
    asio::post(m_strand, [this] {
        m_stopped = true;
        for (auto& ticker : m_tickers)
            ticker->timer->cancel();
    });
}

void ParticipantRunner::post(std::function<void(TimePoint, Outbox&)> function)
{
    asio::post(m_strand, [this, function = std::move(function)] {
        Outbox out(m_self);
        function(m_clock.now(), out);
        flush(out);
    });
}

void ParticipantRunner::schedule(Ticker& ticker)
{
    if (m_stopped)
        return;
    ticker.timer->expires_after(ticker.participant->tickInterval());
    ticker.timer->async_wait([this, &ticker](std::error_code code) {
        if (code)
            return;
        Outbox out(m_self);
        ticker.participant->tick(m_clock.now(), out);
        flush(out);
        schedule(ticker);
    });
}

void ParticipantRunner::handle(const PeerMessage& message)
{
    Participant* receiver = receiverOf(message.method);
    if (!receiver)
        return;
    Outbox out(m_self);
    receiver->receive(message, m_clock.now(), out);
    flush(out);
}

void ParticipantRunner::flush(Outbox& out)
{
    for (auto& message : out.takeMessages()) {
        if (message.to != m_self)
            m_transport.send(std::move(message));
        else
            asio::post(m_strand, [this, message = std::move(message)] { handle(message); });
    }
    for (const auto& decision : out.takeDecisions())
        m_log.record(decision);
    if (m_afterEach)
        m_afterEach();
}

Participant* ParticipantRunner::receiverOf(const std::string& method)
{
    for (Participant* participant : m_participants) {
        const auto methods = participant->methods();
        if (std::find(methods.begin(), methods.end(), method) != methods.end())
            return participant;
    }
    return nullptr;
}

} // namespace laburnum
