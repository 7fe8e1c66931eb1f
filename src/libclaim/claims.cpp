#include <laburnumroute/claims.h>

namespace laburnum {

const char* claimVerdictName(ClaimVerdict verdict) noexcept
{
    switch (verdict) {
    case ClaimVerdict::Run:
        return "run";
    case ClaimVerdict::Replay:
        return "replay";
    case ClaimVerdict::ResponseNotStored:
        return "answered-without-copy";
    case ClaimVerdict::InProgress:
        return "in-progress";
    case ClaimVerdict::Unknown:
        return "unknown";
    case ClaimVerdict::Mismatch:
        return "key-reused";
    case ClaimVerdict::Unavailable:
        return "claims-out-of-reach";
    }
    return "unknown";
}

} // namespace laburnum
