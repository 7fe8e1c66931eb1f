#include <laburnumroute/decision.h>

#include <laburnumroute/json.h>

namespace laburnum {

std::string formatDecision(const Decision& decision)
{
    Json::Value line = decision.facts;
    line["kind"] = decision.kind;
    line["reason"] = decision.reason;
    return toJsonText(line);
}

} // namespace laburnum
