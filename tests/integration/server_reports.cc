#include "server_reports.h"

#include "core/base/http_status.h"

namespace larchlever::integration {
namespace {

constexpr int kSlots = 8;

}  // namespace

boost::json::object plain_server_report(const std::string& address, const std::string& zone, int64_t call_number) {
  return {{"service", "forms"}, {"address", address}, {"zone", zone},      {"version", "v1"},
          {"slots", kSlots},    {"state", "ready"},   {"cold_left_ms", 0}, {"call_seq", call_number}};
}

bool ReportSender::send(BlockingClient& client, const std::string& server_id, const std::string& report) {
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/v1/instances/" + server_id + "/heartbeat";
  request.headers.add("Content-Type", "application/json");
  request.body = report;
  for (size_t attempt = 0; attempt < control_endpoints_.size(); ++attempt) {
    const auto result = client.fetch(control_endpoints_[next_endpoint_], request, timeout_);
    if (result.response && result.response->status == http_status::kOk) {
      return true;
    }
    next_endpoint_ = (next_endpoint_ + 1) % control_endpoints_.size();
  }
  return false;
}

}  // namespace larchlever::integration
