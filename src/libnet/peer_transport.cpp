#include <laburnumroute/peer_transport.h>

#include <asio/post.hpp>

#include <laburnumroute/json_rpc.h>

#include "peer_link_pvt.h"
#include "peer_listener_pvt.h"

namespace laburnum {

class PeerTransport::Impl : public std::enable_shared_from_this<PeerTransport::Impl> {
public:
    Impl(const asio::any_io_executor& executor, HostId self,
        const std::map<HostId, Endpoint>& peers, const std::optional<SharedKey>& key)
        : m_strand(asio::make_strand(executor))
        , m_self(std::move(self))
        , m_counters(std::make_shared<pvt::PeerCounters>())
        , m_dispatcher(std::make_shared<NotificationDispatcher>())
        , m_listener(std::make_shared<pvt::PeerListener>(m_strand, m_self, key, m_counters,
              [dispatcher = m_dispatcher](const std::string& payload) {
                  const auto handled = dispatcher->dispatch(payload);
                  return handled || handled.error().code == ErrorCode::NotFound;
              }))
    {
        for (const auto& [id, endpoint] : peers)
            m_links.emplace(
                id, std::make_shared<pvt::PeerLink>(m_strand, id, endpoint, key, m_counters));
    }

    void addHandler(const std::string& method, const MessageHandler& handler)
    {
        m_dispatcher->add(method, [self = m_self, method, handler](const Json::Value& params) {
            if (params.isObject() && params["from"].isString())
                handler({ HostId(params["from"].asString()), self, method, params["body"] });
        });
    }

    Expected<void> listen(const Endpoint& endpoint) { return m_listener->listen(endpoint); }

    void send(PeerMessage message)
    {
        Json::Value params(Json::objectValue);
        params["from"] = m_self.value();
        params["body"] = std::move(message.params);
        std::string payload = encodeNotification(message.method, params);
        asio::post(m_strand,
            [self = shared_from_this(), to = std::move(message.to),
                payload = std::move(payload)]() mutable { self->enqueue(to, std::move(payload)); });
    }

    void stop()
    {
        asio::post(m_strand, [self = shared_from_this()] {
            self->m_listener->stop();
            for (const auto& [id, link] : self->m_links)
                link->stop();
        });
    }

    PeerTransportCounts counts() const noexcept
    {
        return { m_counters->sentBytes, m_counters->receivedBytes, m_counters->droppedMessages,
            m_counters->refusedFrames };
    }

private:
    void enqueue(const HostId& to, std::string payload)
    {
        const auto found = m_links.find(to);
        if (found == m_links.end())
            ++m_counters->droppedMessages;
        else
            found->second->enqueue(std::move(payload));
    }

    pvt::PeerStrand m_strand;
    HostId m_self;
    std::shared_ptr<pvt::PeerCounters> m_counters;
    std::shared_ptr<NotificationDispatcher> m_dispatcher;
    std::shared_ptr<pvt::PeerListener> m_listener;
    std::map<HostId, std::shared_ptr<pvt::PeerLink>> m_links;
};

PeerTransport::PeerTransport(const asio::any_io_executor& executor, HostId self,
    const std::map<HostId, Endpoint>& peers, const std::optional<SharedKey>& key)
    : m_impl(std::make_shared<Impl>(executor, std::move(self), peers, key))
{
}

PeerTransport::~PeerTransport() = default;

void PeerTransport::addHandler(const std::string& method, const MessageHandler& handler)
{
    m_impl->addHandler(method, handler);
}

Expected<void> PeerTransport::listen(const Endpoint& endpoint) { return m_impl->listen(endpoint); }
void PeerTransport::send(PeerMessage message) { m_impl->send(std::move(message)); }
void PeerTransport::stop() { m_impl->stop(); }
PeerTransportCounts PeerTransport::counts() const noexcept { return m_impl->counts(); }

} // namespace laburnum
