#include "control_role.h"

#include <random>

#include <laburnumroute/disk_storage.h>

namespace laburnum {

namespace {

    std::vector<HostId> controlHostsOf(const Settings& settings)
    {
        std::vector<HostId> hosts { settings.place.host };
        for (const auto& peer : settings.peers) {
            if (peer.control)
                hosts.push_back(peer.place.host);
        }
        return hosts;
    }

    /// The identity that a new data folder gets.
    MemberId drawMemberId(const HostId& host)
    {
        std::random_device device;
        const std::uint64_t number = (std::uint64_t { device() } << 32U) | device();
        return MemberId(host.value() + '-' + std::to_string(number));
    }

} // namespace

ControlRole::ControlRole(asio::io_context& context, const Settings& settings,
    PeerTransport& transport, const Clock& clock, DecisionLog& log, Committed committed)
    : m_runner(context, settings.place.host, transport, clock, log)
    , m_committed(std::move(committed))
    , m_service(settings.place.host)
{
}

Expected<void> ControlRole::open(const Settings& settings, const Clock& clock)
{
    auto storage = openDiskStorage(settings.dataFolder + "/log");
    if (!storage)
        return tl::unexpected<Error>(storage.error());
    m_storage = std::move(*storage);
    auto store = LogStore::open(*m_storage, drawMemberId(settings.place.host));
    if (!store)
        return tl::unexpected<Error>(store.error());
    ReplicatedLogOptions options;
    options.host = settings.place.host;
    options.controlHosts = controlHostsOf(settings);
    options.seed = std::random_device {}();
    auto log = ReplicatedLog::create(std::move(options), std::move(*store), m_service, clock.now());
    if (!log)
        return tl::unexpected<Error>(log.error());
    m_log = std::move(*log);
    m_service.attach(*m_log);
    m_runner.add(*m_log);
    m_runner.add(m_service);
    m_runner.setAfterEach([this] { publishCommitted(); });
    return {};
}

Expected<Revision> ControlRole::submit(const ConfigChange& change)
{
    auto promise = std::make_shared<std::promise<Expected<Revision>>>();
    auto result = promise->get_future();
    m_runner.post([this, change, promise](TimePoint now, Outbox& out) {
        m_service.submit(change, now, out,
            [promise](const Expected<Revision>& done) { promise->set_value(done); });
    });
    return result.get();
}

ControlStatus ControlRole::status()
{
    return m_runner.call([&](TimePoint, Outbox&) {
        const auto& failure = m_log->failure();
        return ControlStatus { m_log->role(), m_log->term(), m_log->commitIndex(), m_log->leader(),
            failure ? failure->message : std::string() };
    });
}

void ControlRole::publishCommitted()
{
    const ConfigVersion& current = m_service.ledger().current();
    if (current.revision <= m_published)
        return;
    m_published = current.revision;
    m_committed(current);
}

} // namespace laburnum
