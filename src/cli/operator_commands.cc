#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <cstdlib>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <map>
#include <random>
#include <set>

#include "cli/command_line.h"
#include "cli/flags.h"
#include "net/http_client.h"
#include "settings/change_file.h"
#include "settings/ini_document.h"
#include "settings/node_settings.h"
#include "wire/codec.h"

namespace larchlever::cli {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto kCallTimeout = std::chrono::milliseconds(20'000);

/// Sends a request to one node after the other until a leader has answered it. If none has, prints the reason and
/// returns nothing.
std::optional<wire::OperatorReply> send_operator_request(const wire::OperatorRequest& request) {
  std::string reason = "no node given; use --node IP:PORT";
  for (const auto& node : settings::split_list(FLAGS_node)) {
    asio::io_context context(1);
    net::HttpClient client(context.get_executor());
    net::HttpRequest message;
    message.method = "POST";
    message.target = "/admin/operate";
    message.body = wire::encode(request);
    net::FetchResult result;
    asio::co_spawn(
        context, [&]() -> asio::awaitable<void> { result = co_await client.fetch(node, message, kCallTimeout); },
        asio::detached);
    context.run();
    if (!result.response) {
      reason = result.error;
      continue;
    }
    auto reply = wire::decode<wire::OperatorReply>(result.response->body);
    if (reply && !reply->leader.empty()) {
      return reply;
    }
    reason = node + ": no leader responded in time; check that a majority of the control replicas is running";
  }
  std::cerr << "larchlever: " << reason << "\n";
  return std::nullopt;
}

std::string effective_operator_name() {
  if (!FLAGS_operator_name.empty()) {
    return FLAGS_operator_name;
  }
  const char* user = std::getenv("USER");
  return user == nullptr ? "unnamed" : user;
}

std::string effective_command_id() {
  if (!FLAGS_command_id.empty()) {
    return FLAGS_command_id;
  }
  std::random_device source;
  std::ostringstream id;
  id << std::hex << std::time(nullptr) << "-" << source() << source();
  return id.str();
}

const char* verdict_name(wire::Verdict::type verdict) {
  switch (verdict) {
    case wire::Verdict::ACCEPTED:
      return "accepted";
    case wire::Verdict::CONFLICT:
      return "conflict";
    case wire::Verdict::INVALID:
      return "invalid";
    case wire::Verdict::UNKNOWN:
      return "unknown";
  }
  return "unknown";
}

const char* group_state_name(wire::GroupState::type state) {
  static const char* const names[] = {"planned", "loading", "ready", "serving", "draining", "releasing", "gone"};
  return names[state];
}

const char* machine_state_name(const wire::Machine& machine) {
  static const char* const names[] = {"free", "owned", "releasing", "leaving"};
  return machine.leaving && machine.state == wire::MachineState::FREE ? "leaving" : names[machine.state];
}

/// Prints rows as an aligned text table or as a JSON array of objects.
class OutputTable {
 public:
  explicit OutputTable(std::vector<std::string> headings) : headings_(std::move(headings)) {}
  void add_row(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
  json::array to_json() const {
    json::array list;
    for (const auto& row : rows_) {
      json::object object;
      for (size_t column = 0; column < row.size(); ++column) {
        object[headings_[column]] = row[column];
      }
      list.push_back(std::move(object));
    }
    return list;
  }
  void print() const {
    if (FLAGS_output == "json") {
      std::cout << json::serialize(to_json()) << "\n";
      return;
    }
    std::vector<size_t> widths;
    for (const auto& heading : headings_) {
      widths.push_back(heading.size());
    }
    for (const auto& row : rows_) {
      for (size_t column = 0; column < row.size(); ++column) {
        widths[column] = std::max(widths[column], row[column].size());
      }
    }
    print_row(headings_, widths);
    for (const auto& row : rows_) {
      print_row(row, widths);
    }
  }

 private:
  static void print_row(const std::vector<std::string>& row, const std::vector<size_t>& widths) {
    for (size_t column = 0; column < row.size(); ++column) {
      std::cout << std::left << std::setw(static_cast<int>(widths[column])) << row[column]
                << (column + 1 == row.size() ? "\n" : "  ");
    }
  }

  std::vector<std::string> headings_;
  std::vector<std::vector<std::string>> rows_;
};

std::string join_with_commas(const std::vector<std::string>& items) {
  std::string result;
  for (const auto& item : items) {
    result += (result.empty() ? "" : ",") + item;
  }
  return result;
}

std::optional<wire::StatusReport> fetch_status() {
  wire::OperatorRequest request;
  request.action = wire::OperatorAction::STATUS;
  const auto reply = send_operator_request(request);
  return reply ? std::optional(reply->status) : std::nullopt;
}

std::optional<std::map<std::string, wire::Record>> fetch_records(const std::string& prefix) {
  wire::OperatorRequest request;
  request.action = wire::OperatorAction::GET;
  request.prefix = prefix;
  const auto reply = send_operator_request(request);
  if (!reply) {
    return std::nullopt;
  }
  std::map<std::string, wire::Record> records;
  for (const auto& record : reply->records) {
    records[record.key] = record;
  }
  return records;
}

void print_prefixed_lines(const std::string& text, const char* line_prefix) {
  std::istringstream lines(text);
  std::string line;
  while (std::getline(lines, line)) {
    std::cout << line_prefix << line << "\n";
  }
}

void print_difference(const std::map<std::string, wire::Record>& current, const std::vector<wire::KeyWrite>& writes) {
  for (const auto& write : writes) {
    const auto found = current.find(write.key);
    const std::string old_text = found == current.end() ? "" : settings::format_record(found->second);
    wire::Record after;
    after.key = write.key;
    after.value = write.value;
    const std::string text = write.remove ? "" : settings::format_record(after);
    if (text == old_text) {
      std::cout << "  " << write.key << ": unchanged\n";
      continue;
    }
    print_prefixed_lines(old_text, "- ");
    print_prefixed_lines(text, "+ ");
  }
}

int print_change_answer(const wire::OperatorReply& reply, bool dry_run) {
  if (FLAGS_output == "json") {
    json::array missing(reply.missing_nodes.begin(), reply.missing_nodes.end());
    std::cout << json::serialize(json::object{{"verdict", verdict_name(reply.answer.verdict)},
                                              {"revision", reply.answer.revision},
                                              {"message", reply.answer.message},
                                              {"in_force", reply.in_force},
                                              {"missing", missing}})
              << "\n";
  } else {
    std::cout << verdict_name(reply.answer.verdict) << " at revision " << reply.answer.revision << "\n";
    if (!reply.answer.message.empty()) {
      std::cout << reply.answer.message << "\n";
    }
  }
  if (reply.answer.verdict == wire::Verdict::CONFLICT) {
    return kExitConflict;
  }
  if (reply.answer.verdict != wire::Verdict::ACCEPTED) {
    return kExitInvalid;
  }
  if (dry_run || reply.in_force) {
    if (!dry_run && FLAGS_output == "table") {
      std::cout << "in force on every node\n";
    }
    return kExitSuccess;
  }
  std::cerr << "not yet confirmed by: " << join_with_commas(reply.missing_nodes) << "\n";
  return kExitNotInForce;
}

}  // namespace

int run_apply(const std::vector<std::string>& arguments) {
  if (arguments.size() != 1) {
    std::cerr << "usage: larchlever apply FILE [--dry_run]\n";
    return kExitUsage;
  }
  std::vector<std::string> errors;
  const auto text = settings::read_text_file(arguments.front(), errors);
  const auto writes = text ? settings::parse_change_file(*text, errors) : std::nullopt;
  for (const auto& error_text : errors) {
    std::cerr << arguments.front() << ": " << error_text << "\n";
  }
  if (!writes) {
    return kExitInvalid;
  }
  const auto current = fetch_records("");
  if (!current) {
    return kExitUnreachable;
  }
  if (FLAGS_output == "table") {
    print_difference(*current, *writes);
  }
  wire::OperatorRequest request;
  request.action = wire::OperatorAction::APPLY;
  request.dry_run = FLAGS_dry_run;
  request.change.operator_name = effective_operator_name();
  request.change.command_id = effective_command_id();
  request.change.writes = *writes;
  for (const auto& write : *writes) {
    // A removed key counts as absent, revision 0, although it has a later revision. If that leads to a conflict, the
    // response contains the actual revision.
    wire::KeyRevision read_revision;
    read_revision.key = write.key;
    const auto found = current->find(write.key);
    read_revision.revision = found == current->end() ? 0 : found->second.revision;
    request.change.reads.push_back(std::move(read_revision));
  }
  request.__isset.change = true;
  if (!FLAGS_dry_run && FLAGS_output == "table") {
    std::cout << "command id " << request.change.command_id << "\n";
  }
  const auto reply = send_operator_request(request);
  return reply ? print_change_answer(*reply, FLAGS_dry_run) : static_cast<int>(kExitUnreachable);
}

int run_get(const std::vector<std::string>& arguments) {
  const auto records = fetch_records(arguments.empty() ? "" : arguments.front());
  if (!records) {
    return kExitUnreachable;
  }
  json::array list;
  for (const auto& [key, record] : *records) {
    const std::string text = settings::format_record(record);
    if (text.empty()) {
      continue;
    }
    if (FLAGS_output == "json") {
      list.push_back(json::object{{"key", key}, {"revision", record.revision}, {"text", text}});
    } else {
      std::cout << "; revision " << record.revision << "\n" << text << "\n";
    }
  }
  if (FLAGS_output == "json") {
    std::cout << json::serialize(list) << "\n";
  }
  return kExitSuccess;
}

int run_status() {
  const auto status = fetch_status();
  if (!status) {
    return kExitUnreachable;
  }
  std::map<std::string, int> groups;
  for (const auto& group : status->groups) {
    ++groups[group_state_name(group.state)];
  }
  std::set<int64_t> voters;
  for (const auto& voter : status->replicas.voters) {
    voters.insert(voter.replica_id);
  }
  if (FLAGS_output == "table") {
    std::cout << "leader " << status->leader << "  term " << status->term << "  committed " << status->commit_index
              << "  voters " << status->replicas.voters.size() << "  machines " << status->machines.size()
              << "  stranded accelerators " << status->stranded_accelerators << "\ngroups:";
    for (const auto& [state, count] : groups) {
      std::cout << " " << state << " " << count;
    }
    std::cout << "\n\n";
  }
  OutputTable table({"node", "zone", "state", "revision", "replica", "identity", "service"});
  for (const auto& node : status->nodes) {
    const std::string replica = node.replica_id == 0 ? "-" : voters.contains(node.replica_id) ? "voter" : "standby";
    table.add_row({node.node, node.zone,
                   node.leaving ? "leaving"
                   : node.live  ? "live"
                                : "silent",
                   std::to_string(node.revision), replica, node.replica_id == 0 ? "-" : std::to_string(node.replica_id),
                   node.service_address});
  }
  if (FLAGS_output == "json") {
    std::cout << json::serialize(json::object{{"leader", status->leader},
                                              {"term", status->term},
                                              {"committed", status->commit_index},
                                              {"voters", status->replicas.voters.size()},
                                              {"stranded_accelerators", status->stranded_accelerators},
                                              {"nodes", table.to_json()}})
              << "\n";
    return kExitSuccess;
  }
  table.print();
  return kExitSuccess;
}

int run_groups() {
  const auto status = fetch_status();
  if (!status) {
    return kExitUnreachable;
  }
  OutputTable table({"group", "epoch", "state", "template", "model", "version", "zone", "domain", "machines"});
  for (const auto& group : status->groups) {
    table.add_row({std::to_string(group.id), std::to_string(group.epoch), group_state_name(group.state),
                   group.template_name, group.model, group.version, group.zone, group.domain,
                   join_with_commas(group.machines)});
  }
  table.print();
  return kExitSuccess;
}

int run_machines() {
  const auto status = fetch_status();
  if (!status) {
    return kExitUnreachable;
  }
  OutputTable table({"machine", "zone", "domain", "accelerators", "state", "group", "weights", "endpoint"});
  for (const auto& machine : status->machines) {
    table.add_row({machine.id, machine.zone, machine.domain, std::to_string(machine.accelerators),
                   machine_state_name(machine), machine.group_id == 0 ? "-" : std::to_string(machine.group_id),
                   machine.weights.empty() ? "-" : machine.weights, machine.endpoint});
  }
  table.print();
  return kExitSuccess;
}

int run_drain(const std::vector<std::string>& arguments) {
  if (arguments.size() != 1) {
    std::cerr << "usage: larchlever drain MACHINE [--undo]\n";
    return kExitUsage;
  }
  wire::OperatorRequest request;
  request.action = wire::OperatorAction::DRAIN;
  request.drain.machine = arguments.front();
  request.drain.leaving = !FLAGS_undo;
  request.drain.operator_name = effective_operator_name();
  request.drain.command_id = effective_command_id();
  request.__isset.drain = true;
  const auto reply = send_operator_request(request);
  return reply ? print_change_answer(*reply, false) : static_cast<int>(kExitUnreachable);
}

int run_audit() {
  wire::OperatorRequest request;
  request.action = wire::OperatorAction::AUDIT;
  const auto reply = send_operator_request(request);
  if (!reply) {
    return kExitUnreachable;
  }
  OutputTable table({"time", "operator", "command", "verdict", "revision", "changed", "message"});
  for (const auto& record : reply->audit) {
    const std::time_t time = record.at_ms / 1000;
    std::ostringstream timestamp;
    timestamp << std::put_time(std::gmtime(&time), "%Y-%m-%dT%H:%M:%SZ");
    std::vector<std::string> changed;
    for (const auto& key : record.changed_from) {
      changed.push_back(key.key + "@" + std::to_string(key.revision));
    }
    std::string message = record.message;
    std::replace(message.begin(), message.end(), '\n', ' ');
    table.add_row({timestamp.str(), record.operator_name, record.command_id, verdict_name(record.verdict),
                   std::to_string(record.revision), join_with_commas(changed), message});
  }
  table.print();
  return kExitSuccess;
}

}  // namespace larchlever::cli
