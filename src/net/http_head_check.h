#pragma once

#include <boost/beast/core/error.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace larchlever::net {

/// Returns the reason why a request head is rejected, or nothing if it is acceptable. Heads that servers may interpret
/// differently must not be forwarded: folded header lines, transfer codings other than chunked, HTTP/1.1 without
/// exactly one Host, a Content-Length together with a transfer coding.
std::optional<std::string> find_head_error(std::string_view head);

/// Checks a response head for what the parser accepts although the response cannot be relied on: a status below 100 or
/// above 599, header lines that begin with whitespace, transfer codings other than chunked.
boost::beast::error_code check_response_head(std::string_view head);

}  // namespace larchlever::net
