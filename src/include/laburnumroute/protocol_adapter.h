/// Plug-in interface that translates between the fleet's internal types and the external protocol
/// for callers, instances and operators. Plug-ins register themselves; settings select one by name.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <variant>

#include <laburnumroute/configuration.h>
#include <laburnumroute/controller.h>
#include <laburnumroute/findings.h>
#include <laburnumroute/header_names.h>
#include <laburnumroute/registry.h>
#include <laburnumroute/web_message.h>

namespace laburnum {

/// Region of each configured data centre.
using DataCentreMap = std::map<DataCentreId, RegionId>;

/// A decoded call to a control address, or the error response if it is not valid.
using DecodedCall = std::variant<ControlCall, WebResponse>;

/// Stateless; safe from any thread.
class ProtocolAdapter {
public:
    virtual ~ProtocolAdapter() = default;

    virtual HeaderNames headerNames() const = 0;
    /// Parses the content of a configuration. Problems are added to `findings`; the result is valid
    /// only if there are no errors among them.
    virtual Configuration parseConfiguration(
        std::string_view content, Findings& findings) const = 0;
    /// Decodes a call. A configuration in a decoded call has been parsed without errors.
    virtual DecodedCall decodeCall(
        const WebRequest& request, const DataCentreMap& centres) const = 0;
    /// Encodes the response to a decoded call.
    virtual WebResponse encodeResult(const ControlCall& call, const CallResult& result) const = 0;
    /// Whether `request` is a readiness probe.
    virtual bool isReadinessCheck(const WebRequest& request) const = 0;
};

using ProtocolAdapterRegistry = Registry<ProtocolAdapter>;

} // namespace laburnum
