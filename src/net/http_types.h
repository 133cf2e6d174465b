#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace larchlever::net {

using Header = std::pair<std::string, std::string>;

/// Header fields in the order received. Names are compared case-insensitively.
class Headers {
 public:
  /// Returns the value of the first header called `name`, or an empty view.
  std::string_view find(std::string_view name) const;
  bool contains(std::string_view name) const;
  void add(std::string name, std::string value) { list_.emplace_back(std::move(name), std::move(value)); }
  void set(const std::string& name, std::string value);
  void remove(std::string_view name);
  const std::vector<Header>& all() const { return list_; }

 private:
  std::vector<Header> list_;
};

struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  Headers headers;
  std::string body;

  /// Returns the target without its query string.
  std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
};

struct HttpResponse {
  int status = 200;
  std::string reason;
  Headers headers;
  std::string body;
};

bool equals_ignoring_case(std::string_view left, std::string_view right);

/// Returns true for headers that apply to a single connection and must not be forwarded, including those listed in
/// `Connection`.
bool is_hop_by_hop(std::string_view name, const Headers& headers);

/// Splits "host:port". Both parts are empty if `endpoint` is malformed.
std::pair<std::string, std::string> split_endpoint(std::string_view endpoint);

}  // namespace larchlever::net
