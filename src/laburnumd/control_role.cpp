#include "control_role.h"

#include <random>

#include <laburnumroute/disk_storage.h>

namespace laburnum {

namespace {

    std::vector<HostId> controlHostsOf(const Settings& settings)
    {
        std::vector<HostId> hosts { settings.location.host };
        for (const auto& peer : settings.peers) {
            if (peer.control)
                hosts.push_back(peer.location.host);
        }
        return hosts;
    }

    /// Creates the log member identity of a new data folder.
    MemberId makeMemberId(const HostId& host)
    {
        std::random_device device;
        const std::uint64_t number = (std::uint64_t { device() } << 32U) | device();
        return MemberId(host.value() + '-' + std::to_string(number));
    }

} // namespace

ControlRole::ControlRole(asio::io_context& context, const Settings& settings,
    PeerTransport& transport, const Clock& clock, DecisionLog& log, CommitHandler onCommit)
    : m_runner(context, settings.location.host, transport, clock, log)
    , m_onCommit(std::move(onCommit))
    , m_service(settings.location.host)
{
}

Expected<void> ControlRole::open(const Settings& settings, const Clock& clock)
{
    auto storage = openDiskStorage(settings.dataFolder + "/log");
    if (!storage)
        return tl::unexpected<Error>(storage.error());
    m_storage = std::move(*storage);
    auto store = LogStore::open(*m_storage, makeMemberId(settings.location.host));
    if (!store)
        return tl::unexpected<Error>(store.error());
    ReplicatedLogOptions options;
    options.host = settings.location.host;
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
    if (current.revision <= m_publishedRevision)
        return;
    m_publishedRevision = current.revision;
    m_onCommit(current);
}

} // namespace laburnum
