/// Holds the newest configuration version known to a host. The revision never decreases.
#pragma once

#include <laburnumroute/config_ledger.h>

namespace laburnum {

/// No I/O; not thread-safe.
class ConfigHolder {
public:
    /// Replaces the current version if `version` has a higher revision; returns whether it did.
    bool updateIfNewer(const ConfigVersion& version);
    const ConfigVersion& current() const noexcept { return m_current; }

private:
    ConfigVersion m_current;
};

} // namespace laburnum
