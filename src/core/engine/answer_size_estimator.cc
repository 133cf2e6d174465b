#include "core/engine/answer_size_estimator.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <vector>

namespace larchlever::engine {

namespace {

/// Larger sizes are taken for this one: beyond any model's context.
constexpr double kMaxTokens = 1e7;
/// Answers of a kind after which its prediction depends on them alone.
constexpr double kSufficientAnswers = 8;
/// Bound on the ratio of an answer to its declared size, for predictions of the same tenant.
constexpr double kMaxRatio = 64;
/// Bound on the correction that the answers of other tenants make. Narrow, because each caller has its own way to
/// guess.
constexpr double kMaxCorrectionByOthers = 4;
/// Values above this multiple of the median count as this multiple.
constexpr double kMaxMultipleOfMedian = 8;
constexpr double kHighQuantile = 0.9;
/// The high quantile for a hint that nothing is known of, as a multiple: such hints are often far off.
constexpr double kHighMultipleOfHint = 3;
/// Answers observed before a pause of this length say little about those after it.
constexpr Duration kMaxPause = seconds(1800);
/// Other tenants that are looked at for a prediction, which bounds its time.
constexpr int kMaxTenants = 64;
/// An answer of more than this multiple of its declared maximum shows that servers do not keep to the maximum. Sizes of
/// answers are known only in multiples of the tokens of an event.
constexpr double kMaxMultipleOfMaximum = 2;

double quantile(const std::vector<double>& sorted, double share) {
  const auto index = static_cast<size_t>(share * static_cast<double>(sorted.size()));
  return sorted[std::min(index, sorted.size() - 1)];
}

double median(const std::vector<double>& sorted) {
  const size_t middle = sorted.size() / 2;
  return sorted.size() % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
}

/// Ratio between the quartiles: how widely the values vary, regardless of a few outliers.
double spread(const std::vector<double>& sorted) { return quantile(sorted, 0.75) / quantile(sorted, 0.25); }

/// Mean and high quantile of the values.
AnswerSizePrediction summarize(const std::vector<double>& sorted) {
  const double bound = median(sorted) * kMaxMultipleOfMedian;
  double sum = 0;
  for (const double value : sorted) {
    sum += std::min(value, bound);
  }
  return {sum / static_cast<double>(sorted.size()), quantile(sorted, kHighQuantile)};
}

/// Geometric mean of two positive values.
double blend(double first, double second, double weight_of_second) {
  return std::exp((1 - weight_of_second) * std::log(first) + weight_of_second * std::log(second));
}

AnswerSizePrediction blend(const AnswerSizePrediction& fallback, const RecentAnswers& answers, double declared) {
  const double weight = std::min(1.0, static_cast<double>(answers.count()) / kSufficientAnswers);
  const AnswerSizePrediction learned = answers.predict(declared);
  return {blend(fallback.mean, learned.mean, weight), blend(fallback.high, learned.high, weight)};
}

std::optional<double> usable_size(const std::optional<double>& size) {
  const bool is_usable = size && std::isfinite(*size) && *size > 0;
  return is_usable ? std::optional(std::clamp(*size, 1.0, kMaxTokens)) : std::nullopt;
}

/// The median ratio to the declared size; of the two middle ones, that which corrects less.
double cautious_median(std::vector<double>& ratios) {
  std::sort(ratios.begin(), ratios.end());
  const double upper = ratios[ratios.size() / 2];
  const double lower = ratios[(ratios.size() - 1) / 2];
  const double closer = std::abs(std::log(lower)) < std::abs(std::log(upper)) ? lower : upper;
  return std::clamp(closer, 1 / kMaxCorrectionByOthers, kMaxCorrectionByOthers);
}

}  // namespace

void RecentAnswers::add(double declared, double tokens) {
  const double ratio = declared > 0 ? std::clamp(tokens / declared, 1 / kMaxRatio, kMaxRatio) : 0;
  answers_[next_] = {tokens, ratio};
  next_ = (next_ + 1) % kMaxAnswers;
  count_ = std::min(count_ + 1, kMaxAnswers);
}

AnswerSizePrediction RecentAnswers::predict(double declared) const {
  std::vector<double> sizes;
  std::vector<double> ratios;
  for (size_t index = 0; index < count_; ++index) {
    sizes.push_back(answers_[index].tokens);
    ratios.push_back(answers_[index].ratio);
  }
  std::sort(sizes.begin(), sizes.end());
  std::sort(ratios.begin(), ratios.end());
  // A ratio that reaches the bound does not lead back to the size.
  const bool has_ratios =
      declared > 0 && ratios.front() > 0 && std::abs(std::log(median(ratios))) < std::log(kMaxRatio);
  if (!has_ratios || spread(sizes) < spread(ratios)) {
    return summarize(sizes);
  }
  const AnswerSizePrediction relative = summarize(ratios);
  return {relative.mean * declared, relative.high * declared};
}

AnswerSizeEstimator::Declaration AnswerSizeEstimator::declaration_of(const DeclaredAnswerSize& declared) {
  const auto hint = usable_size(declared.hint);
  const auto max = usable_size(declared.max);
  if (hint) {
    return {Source::kHint, std::min(*hint, max.value_or(kMaxTokens))};
  }
  return max ? Declaration{Source::kMax, *max} : Declaration();
}

AnswerSizeEstimator::Key AnswerSizeEstimator::key_of(const RequestKind& kind, const Declaration& declaration,
                                                     int size_class) {
  return {kind.route, kind.model, declaration.source, kind.tenant, size_class};
}

AnswerSizePrediction AnswerSizeEstimator::predict_unlearned(const DeclaredAnswerSize& declared,
                                                            const Declaration& declaration, double typical) {
  const double max = usable_size(declared.max).value_or(kMaxTokens);
  const double usual = usable_size(typical).value_or(1.0);
  switch (declaration.source) {
    case Source::kHint:
      return {declaration.tokens, std::min(declaration.tokens * kHighMultipleOfHint, max)};
    case Source::kMax:
      // Few answers are as long as they may be.
      return {typical > 0 ? std::min(usual, max) : max, max};
    case Source::kNothing:
      break;
  }
  return {usual, usual * kHighMultipleOfHint};
}

const AnswerSizeEstimator::Entry* AnswerSizeEstimator::find(const Key& key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? nullptr : &found->second;
}

AnswerSizePrediction AnswerSizeEstimator::correct_by_others(const Key& all_sizes, const Declaration& declaration,
                                                            const AnswerSizePrediction& unlearned) const {
  std::vector<double> mean_ratios;
  std::vector<double> high_ratios;
  Key first = all_sizes;
  first.tenant.clear();
  auto next = entries_.lower_bound(first);
  for (int tenants = 0; next != entries_.end() && tenants < kMaxTenants; ++tenants) {
    const auto& [key, entry] = *next;
    const bool is_of_route =
        key.route == all_sizes.route && key.model == all_sizes.model && key.source == all_sizes.source;
    if (!is_of_route) {
      break;
    }
    const bool is_other = key.size_class == kAllSizes && key.tenant != all_sizes.tenant;
    if (is_other && static_cast<double>(entry.answers.count()) >= kSufficientAnswers) {
      const auto learned = entry.answers.predict(declaration.tokens);
      mean_ratios.push_back(learned.mean / unlearned.mean);
      high_ratios.push_back(learned.high / unlearned.high);
    }
    Key last_of_tenant = key;
    last_of_tenant.size_class = std::numeric_limits<int>::max();
    next = entries_.upper_bound(last_of_tenant);
  }
  if (mean_ratios.empty()) {
    return unlearned;
  }
  return {unlearned.mean * cautious_median(mean_ratios), unlearned.high * cautious_median(high_ratios)};
}

AnswerSizePrediction AnswerSizeEstimator::predict(const RequestKind& kind, const DeclaredAnswerSize& declared,
                                                  double typical) const {
  const Declaration declaration = declaration_of(declared);
  const Key all_sizes = key_of(kind, declaration, kAllSizes);
  const Entry* of_kind = find(all_sizes);
  AnswerSizePrediction prediction = predict_unlearned(declared, declaration, typical);
  if (of_kind == nullptr || static_cast<double>(of_kind->answers.count()) < kSufficientAnswers) {
    prediction = correct_by_others(all_sizes, declaration, prediction);
  }
  if (of_kind != nullptr) {
    prediction = blend(prediction, of_kind->answers, declaration.tokens);
  }
  if (declaration.source != Source::kNothing) {
    const Entry* of_size = find(key_of(kind, declaration, std::ilogb(declaration.tokens)));
    if (of_size != nullptr) {
      prediction = blend(prediction, of_size->answers, declaration.tokens);
    }
  }
  const auto max = usable_size(declared.max);
  if (max && (of_kind == nullptr || !of_kind->exceeds_max)) {
    prediction.mean = std::min(prediction.mean, *max);
    prediction.high = std::min(prediction.high, *max);
  }
  prediction.high = std::max(prediction.high, prediction.mean);
  return prediction;
}

AnswerSizeEstimator::Entry& AnswerSizeEstimator::touch(const Key& key) {
  const auto [entry, is_new] = entries_.try_emplace(key);
  if (is_new) {
    uses_.push_back(&entry->first);
    entry->second.use = std::prev(uses_.end());
  } else {
    uses_.splice(uses_.end(), uses_, entry->second.use);
  }
  while (entries_.size() > std::max<size_t>(1, capacity_)) {
    const auto oldest = entries_.find(*uses_.front());
    uses_.pop_front();
    entries_.erase(oldest);
  }
  return entry->second;
}

void AnswerSizeEstimator::observe(TimePoint now, const RequestKind& kind, const DeclaredAnswerSize& declared,
                                  double tokens) {
  const auto size = usable_size(tokens);
  if (!size) {
    return;
  }
  const Declaration declaration = declaration_of(declared);
  const auto max = usable_size(declared.max);
  const auto add = [&](int size_class) {
    Entry& entry = touch(key_of(kind, declaration, size_class));
    if (entry.answers.count() > 0 && now - entry.observed_at > kMaxPause) {
      entry.answers = RecentAnswers();
    }
    entry.answers.add(declaration.tokens, *size);
    entry.observed_at = now;
    entry.exceeds_max = max && *size > *max * kMaxMultipleOfMaximum;
  };
  if (declaration.source != Source::kNothing) {
    add(std::ilogb(declaration.tokens));
  }
  add(kAllSizes);
}

}  // namespace larchlever::engine
