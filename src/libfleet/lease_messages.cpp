#include "lease_messages_pvt.h"

#include <laburnumroute/json.h>

namespace laburnum::pvt {

Json::Value encodeLeaseRequest(const LeaseRequest& request)
{
    Json::Value value(Json::objectValue);
    value["s"] = request.service.value();
    value["e"] = Json::UInt64(request.epoch);
    value["r"] = Json::UInt64(request.round);
    return value;
}

Expected<LeaseRequest> decodeLeaseRequest(const Json::Value& value)
{
    const auto service = stringMember(value, "s");
    const auto epoch = unsignedMember(value, "e");
    const auto round = unsignedMember(value, "r");
    if (!service || !epoch || !round)
        return fail(ErrorCode::InvalidArgument, "malformed lease request");
    return LeaseRequest { ServiceId(*service), *epoch, *round };
}

Json::Value encodeLeaseReply(const LeaseReply& reply)
{
    Json::Value value = encodeLeaseRequest({ reply.service, reply.epoch, reply.round });
    value["ok"] = reply.granted;
    value["owner"] = reply.owner.value();
    value["ms"] = Json::UInt64(toMillis(reply.remaining));
    return value;
}

Expected<LeaseReply> decodeLeaseReply(const Json::Value& value)
{
    const auto request = decodeLeaseRequest(value);
    if (!request || !value["ok"].isBool() || !value["owner"].isString() || !value["ms"].isUInt())
        return fail(ErrorCode::InvalidArgument, "malformed lease reply");
    return LeaseReply { request->service, request->epoch, request->round, value["ok"].asBool(),
        HostId(value["owner"].asString()), std::chrono::milliseconds(value["ms"].asUInt()) };
}

} // namespace laburnum::pvt
