// Encodes JSON-RPC notifications with the client of libjsonrpccpp. Compiled as C++14, so it cannot
// include headers of this project; json_rpc.cpp declares the function that it defines.

#include <string>

#include <jsonrpccpp/client.h>

namespace laburnum {
namespace pvt {

    namespace {

        /// Stores the encoded message instead of sending it.
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
