#pragma once

/// HTTP status codes that this project sends or handles.
namespace larchlever::http_status {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kRequestTimeout = 408;
constexpr int kConflict = 409;
constexpr int kPreconditionFailed = 412;
constexpr int kPayloadTooLarge = 413;
constexpr int kMisdirectedRequest = 421;
constexpr int kTooManyRequests = 429;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

/// Whether the status tells a caller that the request did not run and never will.
constexpr bool promises_not_run(int status) {
  return status == kRequestTimeout || status == kMisdirectedRequest || status == kTooManyRequests ||
         status == kServiceUnavailable;
}

}  // namespace larchlever::http_status
