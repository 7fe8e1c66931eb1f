/// HTTP status codes (RFC 9110, section 15) that libnet sends or examines.
#pragma once

#include <laburnumroute/http_message.h>

namespace laburnum::pvt {

inline constexpr unsigned statusContinue = 100;
inline constexpr unsigned statusSwitchingProtocols = 101;
inline constexpr unsigned statusOk = 200;
inline constexpr unsigned statusNoContent = 204;
inline constexpr unsigned statusMultipleChoices = 300;
inline constexpr unsigned statusNotModified = 304;
inline constexpr unsigned statusBadRequest = 400;
inline constexpr unsigned statusUnauthorized = 401;
inline constexpr unsigned statusNotFound = 404;
inline constexpr unsigned statusRequestTimeout = 408;
inline constexpr unsigned statusConflict = 409;
inline constexpr unsigned statusTooLarge = 413;
inline constexpr unsigned statusMisdirected = 421;
inline constexpr unsigned statusTooManyRequests = 429;
inline constexpr unsigned statusHeadTooLarge = 431;
inline constexpr unsigned statusServerError = 500;
inline constexpr unsigned statusBadGateway = 502;
inline constexpr unsigned statusUnavailable = 503;
inline constexpr unsigned statusGatewayTimeout = 504;

/// True for the status codes of responses that are not interim.
constexpr bool isFinalStatus(unsigned status) { return status >= statusOk && isStatusCode(status); }

/// True when responses with this status have no body (RFC 9112, section 6.3).
constexpr bool isBodiless(unsigned status)
{
    return status < statusOk || status == statusNoContent || status == statusNotModified;
}

} // namespace laburnum::pvt
