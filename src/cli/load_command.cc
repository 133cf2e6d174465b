#include <boost/asio.hpp>
#include <iostream>

#include "cli/command_line.h"
#include "cli/flags.h"
#include "load/load_generator.h"
#include "settings/ini_document.h"

namespace larchlever::cli {

namespace asio = boost::asio;

namespace {

constexpr size_t kMaxViolationsShown = 20;

void print_report(const load::LoadReport& report) {
  std::cout << "requests " << report.requests << "  attempts " << report.attempts << "  answered " << report.answered
            << "  unanswered " << report.gave_up << "  reported not-run " << report.not_run << "  reported unknown "
            << report.unknown << "\nrate " << static_cast<double>(report.answered) / report.seconds
            << " /s  latency ms p50 " << load::percentile(report.latency_ms, 50) << " p95 "
            << load::percentile(report.latency_ms, 95) << " p99 " << load::percentile(report.latency_ms, 99)
            << "\nfirst token ms p50 " << load::percentile(report.first_token_ms, 50) << " p95 "
            << load::percentile(report.first_token_ms, 95) << "  between tokens ms p95 "
            << load::percentile(report.between_tokens_ms, 95) << "\n";
}

}  // namespace

int run_load() {
  load::LoadOptions options;
  options.nodes = settings::split_list(FLAGS_targets);
  options.tenants = settings::split_list(FLAGS_tenants);
  options.model = FLAGS_model;
  options.service_path = FLAGS_service_path;
  options.caller_count = FLAGS_callers;
  options.request_count = static_cast<uint64_t>(FLAGS_requests);
  options.seed = static_cast<uint64_t>(FLAGS_first_seed);
  if (options.nodes.empty() || options.tenants.empty()) {
    std::cerr << "larchlever: set the nodes with --targets and the tenants with --tenants\n";
    return kExitUsage;
  }
  for (const auto& node : options.nodes) {
    if (!node.starts_with("127.")) {
      std::cerr << "larchlever: load is sent to loopback addresses only, not to " << node << "\n";
      return kExitUsage;
    }
  }
  asio::io_context context(1);
  load::LoadGenerator generator(context.get_executor(), options);
  std::vector<load::ExecutionRecord> executions;
  std::string error;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        co_await generator.run();
        if (!FLAGS_execution_log.empty()) {
          net::HttpClient client(context.get_executor());
          executions = co_await load::fetch_executions(client, FLAGS_execution_log, error);
        }
      },
      asio::detached);
  context.run();
  print_report(generator.report());
  if (FLAGS_execution_log.empty()) {
    return kExitSuccess;
  }
  if (!error.empty()) {
    std::cerr << "larchlever: " << error << "\n";
    return kExitUnreachable;
  }
  const auto violations = load::find_history_faults(generator.history(), executions);
  std::cout << "history " << generator.history().size() << " attempts checked against " << executions.size()
            << " executions: " << violations.size() << " violations\n";
  for (size_t shown = 0; shown < violations.size() && shown < kMaxViolationsShown; ++shown) {
    std::cout << "  " << violations[shown] << "\n";
  }
  return violations.empty() ? kExitSuccess : kExitFailed;
}

}  // namespace larchlever::cli
