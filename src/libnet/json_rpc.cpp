#include <laburnumroute/json_rpc.h>

#include <map>

#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <laburnumroute/json.h>

namespace laburnum {

namespace pvt {
    std::string encodeWithClient(const std::string& method, const Json::Value& params);
}

std::string encodeNotification(const std::string& method, const Json::Value& params)
{
    return pvt::encodeWithClient(method, params);
}

class NotificationDispatcher::Impl final : public jsonrpc::IProcedureInvokationHandler {
public:
    Impl()
        : m_protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this))
    {
    }

    void add(const std::string& method, Handler handler)
    {
        m_protocol->AddProcedure(jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME, nullptr));
        m_handlers[method] = std::move(handler);
    }

    Expected<void> dispatch(const std::string& text)
    {
        std::string response;
        m_protocol->HandleRequest(text, response);
        if (response.empty())
            return {};
        const Json::Value error = parseJson(response).value_or(Json::Value())["error"];
        const bool unknown = error.isObject()
            && error["code"].asInt() == jsonrpc::Errors::ERROR_RPC_METHOD_NOT_FOUND;
        return fail(unknown ? ErrorCode::NotFound : ErrorCode::InvalidArgument,
            "malformed JSON-RPC notification or unknown method: " + response);
    }

    void HandleMethodCall(jsonrpc::Procedure& /*procedure*/, const Json::Value& /*input*/,
        Json::Value& /*output*/) override // NOLINT(readability-identifier-naming)
    {
    }

    void HandleNotificationCall(jsonrpc::Procedure& procedure,
        const Json::Value& input) override // NOLINT(readability-identifier-naming)
    {
        const auto handler = m_handlers.find(procedure.GetProcedureName());
        if (handler != m_handlers.end())
            handler->second(input);
    }

private:
    std::unique_ptr<jsonrpc::IProtocolHandler> m_protocol;
    std::map<std::string, Handler> m_handlers;
};

NotificationDispatcher::NotificationDispatcher()
    : m_impl(std::make_unique<Impl>())
{
}

NotificationDispatcher::~NotificationDispatcher() = default;

void NotificationDispatcher::add(const std::string& method, Handler handler)
{
    m_impl->add(method, std::move(handler));
}

Expected<void> NotificationDispatcher::dispatch(const std::string& text)
{
    return m_impl->dispatch(text);
}

} // namespace laburnum
