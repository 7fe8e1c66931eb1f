#include <laburnumroute/config_holder.h>

namespace laburnum {

bool ConfigHolder::updateIfNewer(const ConfigVersion& version)
{
    if (version.revision <= m_current.revision)
        return false;
    m_current = version;
    return true;
}

} // namespace laburnum
