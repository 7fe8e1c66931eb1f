/// A stand-in control host for tests. It serves the operators' API, keeps real revisions, and can
/// simulate lost responses and hosts that lag or are unreachable.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <thread>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <laburnumroute/admin_server.h>
#include <laburnumroute/config_ledger.h>

namespace laburnum::ctl {

/// A loopback endpoint whose port was free when this was called.
Endpoint freeEndpoint();

class StandinControl {
public:
    /// Simulated faults and recorded requests. Tests may change it only between commands.
    struct State {
        ConfigLedger ledger;
        std::vector<ConfigVersion> versions { {} };
        int requests = 0;
        int submissions = 0;
        /// Number of submissions that take effect but are answered with 503.
        int responsesToLose = 0;
        /// Number of status requests until host `slow` has the newest revision.
        int lagPolls = 0;
        /// True when the fleet has an unreachable host `dead`.
        bool deadHost = false;
        /// Instance of the last drain request.
        std::string drained;
    };

    explicit StandinControl(std::optional<SharedKey> key = std::nullopt);

    std::string address() const { return "http://" + formatEndpoint(m_endpoint); }
    State& state() noexcept { return m_state; }

private:
    AdminResponse submit(const AdminRequest& request);
    AdminResponse version(const AdminRequest& request) const;
    AdminResponse history() const;
    AdminResponse status();
    AdminResponse drain(const AdminRequest& request);

    Endpoint m_endpoint = freeEndpoint();
    State m_state;
    /// Destroyed first, because its handlers use the state.
    AdminServer m_server;
};

/// A control host that sends the same bytes for each request and ends the connection.
class FaultyControl {
public:
    FaultyControl(std::string response, bool resets);
    ~FaultyControl();
    FaultyControl(const FaultyControl&) = delete;
    FaultyControl& operator=(const FaultyControl&) = delete;

    std::string address() const;

private:
    void serve();

    std::string m_response;
    bool m_resets;
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

} // namespace laburnum::ctl
