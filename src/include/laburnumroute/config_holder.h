/// The newest configuration that a host knows. Revisions only grow.
#pragma once

#include <laburnumroute/config_ledger.h>

namespace laburnum {

/// No I/O; not thread-safe.
class ConfigHolder {
public:
    /// Takes `version` if its revision is higher than the one held; returns whether it was taken.
    bool offer(const ConfigVersion& version);
    const ConfigVersion& current() const noexcept { return m_current; }

private:
    ConfigVersion m_current;
};

} // namespace laburnum
