/// How a fleet speaks to callers, instances and operators: translation only. A plug-in implements
/// it and registers itself; settings name it.
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

/// Region of each data centre, as settings name them.
using DataCentreMap = std::map<DataCentreId, RegionId>;

/// A call at a control address: understood, or the answer that refuses it.
using DecodedCall = std::variant<ControlCall, WebResponse>;

/// Stateless; safe from any thread.
class ProtocolAdapter {
public:
    virtual ~ProtocolAdapter() = default;

    virtual HeaderNames headerNames() const = 0;
    /// Reads the content of a configuration. Every problem goes to `findings`; the result is usable
    /// only without errors.
    virtual Configuration parseConfiguration(
        std::string_view content, Findings& findings) const = 0;
    /// Understands a call. A configuration in it was read and has no errors.
    virtual DecodedCall decodeCall(
        const WebRequest& request, const DataCentreMap& centres) const = 0;
    /// The answer to a call that was understood.
    virtual WebResponse encodeResult(const ControlCall& call, const CallResult& result) const = 0;
    /// True for the question whether a host is ready for callers.
    virtual bool isReadinessCheck(const WebRequest& request) const = 0;
};

using ProtocolAdapterRegistry = Registry<ProtocolAdapter>;

} // namespace laburnum
