#include "simulation/experiment.h"

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <mutex>
#include <sstream>
#include <thread>

#include "settings/node_settings.h"
#include "simulation/experiment_runs.h"

namespace larchlever::simulation {

namespace {

struct Trial {
  std::string label;
  std::string policy;
  int64_t downtime_weight = 50;
  uint64_t seed = 1;
};

std::vector<Trial> make_trials(const Experiment& experiment) {
  std::vector<Trial> trials;
  for (const auto& policy : experiment.policies) {
    const bool uses_downtime_weight =
        experiment.kind == "placement" && policy == "spare_aware" && !experiment.downtime_weights.empty();
    const auto downtime_weights = uses_downtime_weight ? experiment.downtime_weights : std::vector<int64_t>{50};
    for (const int64_t downtime_weight : downtime_weights) {
      std::string label = policy;
      if (uses_downtime_weight) {
        label += "/" + std::to_string(downtime_weight);
      }
      for (int seed = 1; seed <= experiment.seed_count; ++seed) {
        trials.push_back({label, policy, downtime_weight, static_cast<uint64_t>(seed)});
      }
    }
  }
  return trials;
}

std::map<std::string, double> run_trial(const Experiment& experiment, const Trial& trial) {
  if (experiment.kind == "placement") {
    return run_placement_trial(experiment, trial.policy, trial.downtime_weight, trial.seed);
  }
  return experiment.kind == "routing" ? run_routing_trial(experiment, trial.policy, trial.seed)
                                      : run_certification_trial(experiment, trial.policy, trial.seed);
}

SampleSummary summarize_samples(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return {values[values.size() / 2], values.front(), values.back()};
}

}  // namespace

std::optional<Experiment> parse_experiment(const std::string& path, std::vector<std::string>& errors) {
  const auto text = settings::read_text_file(path, errors);
  if (!text) {
    return std::nullopt;
  }
  const size_t error_count_before = errors.size();
  const auto document = settings::IniDocument::parse(*text, errors);
  Experiment experiment;
  settings::SectionReader reader("experiment", document.find_section("experiment"), errors);
  experiment.name = reader.read_required_string("name");
  experiment.kind = reader.read_choice("kind", "placement", {"placement", "routing", "certification"});
  experiment.policies = reader.read_list("policies");
  for (const auto& downtime_weight : reader.read_list("downtime_weights")) {
    experiment.downtime_weights.push_back(std::atoll(downtime_weight.c_str()));
  }
  experiment.seed_count = static_cast<int>(reader.read_integer("seeds", 10, 1, 10'000));
  experiment.duration_seconds = reader.read_integer("duration_s", 1800, 1, 864'000);
  experiment.mean_seconds_between_failures = reader.read_integer("seconds_between_failures", 60, 1, 864'000);
  experiment.mean_repair_seconds = reader.read_integer("repair_s", 300, 1, 864'000);
  experiment.requests_per_second = reader.read_integer("requests_per_second", 60, 1, 100'000);
  experiment.operator_count = reader.read_integer("operators", 6, 1, 10'000);
  reader.report_unknown_keys();
  if (experiment.kind == "placement") {
    const std::string folder = std::filesystem::path(path).parent_path().string();
    if (auto deployment = parse_deployment(document, folder.empty() ? "." : folder, errors)) {
      experiment.deployment = std::move(*deployment);
    }
  }
  return errors.size() > error_count_before ? std::nullopt : std::optional(std::move(experiment));
}

std::vector<ExperimentRow> run_experiment(const Experiment& experiment) {
  const auto trials = make_trials(experiment);
  std::vector<std::map<std::string, double>> results(trials.size());
  std::atomic<size_t> next_trial{0};
  std::vector<std::thread> workers;
  for (unsigned number = 0; number < std::max(1U, std::thread::hardware_concurrency()); ++number) {
    workers.emplace_back([&] {
      for (size_t position = next_trial++; position < trials.size(); position = next_trial++) {
        const Trial& trial = trials[position];
        results[position] = run_trial(experiment, trial);
      }
    });
  }
  for (auto& worker : workers) {
    worker.join();
  }
  std::vector<std::string> label_order;
  std::map<std::string, std::map<std::string, std::vector<double>>> samples;
  for (size_t position = 0; position < trials.size(); ++position) {
    if (!samples.contains(trials[position].label)) {
      label_order.push_back(trials[position].label);
    }
    for (const auto& [measure, value] : results[position]) {
      samples[trials[position].label][measure].push_back(value);
    }
  }
  std::vector<ExperimentRow> rows;
  for (const auto& label : label_order) {
    ExperimentRow row;
    row.policy = label;
    for (const auto& [measure, values] : samples[label]) {
      row.measures[measure] = summarize_samples(values);
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

std::string format_experiment_csv(const std::vector<ExperimentRow>& rows) {
  std::ostringstream out;
  out << "policy,measure,median,least,greatest\n";
  for (const auto& row : rows) {
    for (const auto& [measure, summary] : row.measures) {
      out << row.policy << "," << measure << "," << summary.median << "," << summary.minimum << "," << summary.maximum
          << "\n";
    }
  }
  return out.str();
}

std::string format_experiment_json(const Experiment& experiment, const std::vector<ExperimentRow>& rows) {
  std::ostringstream out;
  out << "{\"experiment\":\"" << experiment.name << "\",\"seeds\":" << experiment.seed_count << ",\"rows\":[";
  for (size_t position = 0; position < rows.size(); ++position) {
    out << (position == 0 ? "" : ",") << "{\"policy\":\"" << rows[position].policy << "\",\"measures\":{";
    bool is_first = true;
    for (const auto& [measure, summary] : rows[position].measures) {
      out << (is_first ? "" : ",") << "\"" << measure << "\":{\"median\":" << summary.median
          << ",\"least\":" << summary.minimum << ",\"greatest\":" << summary.maximum << "}";
      is_first = false;
    }
    out << "}}";
  }
  out << "]}\n";
  return out.str();
}

std::string format_experiment_svg(const Experiment& experiment, const std::vector<ExperimentRow>& rows,
                                  const std::string& measure) {
  constexpr int kRowHeight = 34;
  constexpr int kLeftMargin = 150;
  constexpr int kMaxBarWidth = 480;
  double largest_value = 1e-9;
  for (const auto& row : rows) {
    largest_value = std::max(largest_value, row.measures.at(measure).maximum);
  }
  const auto x_position = [&](double value) { return kLeftMargin + kMaxBarWidth * value / largest_value; };
  std::ostringstream out;
  const int height = 60 + kRowHeight * static_cast<int>(rows.size());
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"760\" height=\"" << height
      << "\" font-family=\"sans-serif\" font-size=\"13\"><rect width=\"760\" height=\"" << height
      << "\" fill=\"white\"/><text x=\"10\" y=\"24\" font-size=\"15\">" << experiment.name << ": " << measure
      << " (median, least to greatest of " << experiment.seed_count << " seeds)</text>\n";
  int y = 50;
  for (const auto& row : rows) {
    const auto& summary = row.measures.at(measure);
    out << "<text x=\"10\" y=\"" << y + 15 << "\">" << row.policy << "</text><rect x=\"" << kLeftMargin << "\" y=\""
        << y << "\" width=\"" << x_position(summary.median) - kLeftMargin
        << "\" height=\"20\" fill=\"#4477aa\"/><line x1=\"" << x_position(summary.minimum) << "\" x2=\""
        << x_position(summary.maximum) << "\" y1=\"" << y + 10 << "\" y2=\"" << y + 10
        << "\" stroke=\"#222\" stroke-width=\"2\"/><text x=\"" << x_position(summary.maximum) + 8 << "\" y=\"" << y + 15
        << "\">" << summary.median << "</text>\n";
    y += kRowHeight;
  }
  out << "</svg>\n";
  return out.str();
}

}  // namespace larchlever::simulation
