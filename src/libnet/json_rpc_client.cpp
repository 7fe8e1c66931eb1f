// Encodes JSON-RPC notifications with libjsonrpccpp's client. Compiled as C++14, so it includes no
// header of ours; json_rpc.cpp declares the one function it defines.

#include <string>

#include <jsonrpccpp/client.h>

namespace laburnum {
namespace pvt {

    namespace {

        /// Keeps the encoded message in place of sending it.
        class CapturingConnector : public jsonrpc::IClientConnector {
        public:
            void SendRPCMessage(const std::string& message, std::string& /*result*/) throw(
                jsonrpc::JsonRpcException) override
            {
                m_message = message;
            }

            const std::string& message() const { return m_message; }

        private:
            std::string m_message;
        };

    } // namespace

    std::string encodeWithClient(const std::string& method, const Json::Value& params)
    {
        CapturingConnector connector;
        jsonrpc::Client client(connector);
        client.CallNotification(method, params);
        return connector.message();
    }

} // namespace pvt
} // namespace laburnum
