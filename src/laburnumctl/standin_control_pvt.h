/// A control host's operators' API for tests: keeps real revisions, loses answers and lags on
/// request.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include <laburnumroute/admin_server.h>
#include <laburnumroute/config_ledger.h>

namespace laburnum::ctl {

/// A loopback endpoint that was free a moment ago.
Endpoint freeEndpoint();

class StandinControl {
public:
    /// What tests set and read. Set it between runs only.
    struct State {
        ConfigLedger ledger;
        std::vector<ConfigVersion> versions { {} };
        int requests = 0;
        int submissions = 0;
        /// Submissions that take effect but are answered with "unknown".
        int answersToLose = 0;
        /// Polls of the status until host `slow` has the newest revision.
        int lagPolls = 0;
        /// A host `dead` that is out of reach belongs to the fleet.
        bool deadHost = false;
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

} // namespace laburnum::ctl
