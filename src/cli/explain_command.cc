// Operator command that explains where a request would be sent now: explain.

#include <boost/json.hpp>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "cli/command_line.h"
#include "cli/control_call.h"
#include "cli/flags.h"
#include "core/base/http_status.h"
#include "core/base/json_fields.h"

namespace larchlever::cli {

namespace json = boost::json;

namespace {

constexpr int kNameWidth = 20;
constexpr int kNumberWidth = 10;

std::string query_body() {
  json::object query;
  query["route"] = FLAGS_route;
  query["model"] = FLAGS_model;
  query["tenant"] = FLAGS_tenant;
  query["prompt_tokens"] = FLAGS_prompt_tokens;
  query["answer_tokens"] = FLAGS_answer_tokens;
  return json::serialize(query);
}

std::string number_text(const json::object& row, const char* field, int decimals) {
  const auto* value = row.if_contains(field);
  if (value == nullptr || !value->is_number()) {
    return "-";
  }
  std::ostringstream text;
  text << std::fixed << std::setprecision(decimals) << value->to_number<double>();
  return text.str();
}

void print_row(const std::string& name, const std::vector<std::string>& numbers, const std::string& verdict) {
  std::cout << std::left << std::setw(kNameWidth) << name << std::right;
  for (const auto& number : numbers) {
    std::cout << std::setw(kNumberWidth) << number;
  }
  std::cout << "  " << verdict << "\n";
}

void print_candidate(const json::object& row, const std::string& chosen) {
  const std::string name = string_field(row, "name");
  const std::string ruled_out = string_field(row, "ruled_out");
  const std::string verdict = name == chosen ? "chosen" : ruled_out.empty() ? "could serve it" : ruled_out;
  print_row(name,
            {std::to_string(integer_field(row, "in_flight")) + "/" + std::to_string(integer_field(row, "slots")),
             number_text(row, "first_event_ms", 0), number_text(row, "longest_pass_ms", 0),
             number_text(row, "remaining_work_ms", 0), number_text(row, "time_factor", 2)},
            verdict);
}

void print_summary(const json::object& body) {
  const std::string chosen = string_field(body, "chosen");
  const std::string model = string_field(body, "model");
  std::cout << "route " << string_field(body, "route") << ", service " << string_field(body, "service")
            << (model.empty() ? "" : ", model " + model) << ", priority " << integer_field(body, "priority")
            << ", prompt " << integer_field(body, "prompt_tokens") << ", answer "
            << integer_field(body, "answer_tokens") << " tokens, objective " << number_text(body, "objective_ms", 0)
            << " ms\n";
  std::cout << (chosen.empty() ? "would wait or be refused" : "would be sent to " + chosen) << "; "
            << integer_field(body, "waiting") << " wait for the same servers, " << integer_field(body, "waiting_ahead")
            << " of them ahead; expected wait " << number_text(body, "expected_wait_ms", 0) << " ms; tenant used "
            << number_text(body, "tenant_usage", 3) << " of the work, its share is "
            << number_text(body, "tenant_share", 3) << "\n";
}

}  // namespace

int run_explain() {
  if (FLAGS_route.empty()) {
    std::cerr << "usage: larchlever explain --control IP:PORT --route NAME [--model NAME] [--tenant NAME] "
                 "[--prompt_tokens N] [--answer_tokens N]\n";
    return kExitUsage;
  }
  const auto answer = call_control_replica("POST", "/v1/explain", query_body());
  if (!answer) {
    return kExitUnreachable;
  }
  if (answer->status != http_status::kOk) {
    std::cerr << "larchlever: " << answer->body << "\n";
    return answer->status == http_status::kBadRequest ? kExitInvalid : kExitFailed;
  }
  if (FLAGS_output == "json") {
    std::cout << answer->body << "\n";
    return kExitSuccess;
  }
  const auto body = parse_json_object(answer->body);
  print_summary(body);
  print_row("candidate", {"in use", "first ms", "pass ms", "work ms", "factor"}, "verdict");
  const auto* candidates = body.if_contains("candidates");
  for (const auto& row : candidates != nullptr && candidates->is_array() ? candidates->as_array() : json::array()) {
    print_candidate(row.as_object(), string_field(body, "chosen"));
  }
  return kExitSuccess;
}

}  // namespace larchlever::cli
