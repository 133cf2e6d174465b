#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "core/base/time.h"

namespace larchlever::engine {

/// Requests whose answers are expected to relate to their declared sizes in the same way.
struct RequestKind {
  std::string tenant;
  std::string route;
  std::string model;
};

/// Sizes of the answer that a caller declares, in tokens.
struct DeclaredAnswerSize {
  /// The caller's guess.
  std::optional<double> hint;
  std::optional<double> max;
};

struct AnswerSizePrediction {
  /// Expected tokens, for choosing a place.
  double mean = 0;
  /// Tokens that most answers stay within, for refusing a request.
  double high = 0;
};

/// The most recent answers of one kind: their sizes, and their ratios to what was declared of them.
///
/// Predicts by the ratios or by the sizes alone, whichever vary less: hints of some callers are off by a steady factor,
/// those of others say nothing. Values beyond a multiple of the median count as that, so a few huge answers do not
/// spoil the mean.
class RecentAnswers {
 public:
  /// `declared` is zero if nothing was declared.
  void add(double declared, double tokens);
  size_t count() const { return count_; }
  /// Requires at least one answer.
  AnswerSizePrediction predict(double declared) const;

 private:
  /// Enough for a steady high quantile, few enough to follow callers that change.
  static constexpr size_t kMaxAnswers = 32;

  struct Answer {
    double tokens = 0;
    /// Tokens divided by those declared, bounded; zero if nothing was declared.
    double ratio = 0;
  };

  std::array<Answer, kMaxAnswers> answers_;
  size_t next_ = 0;
  size_t count_ = 0;
};

/// Predicts the sizes of answers from what callers declare, corrected by the sizes of earlier answers.
///
/// Answers a load in which requests that look alike take very different amounts of work. A prediction comes from the
/// answers to the same tenant, route and model with a hint of similar size, as far as there are enough of them; then
/// from those with any hint; then from the median over the other tenants of the route and model, within narrow bounds,
/// so a caller with false hints misleads no other; then from the declared size. Old answers give way to newer ones, and
/// those of long ago to the first new one. Bounded memory: the least recently observed kinds are dropped.
/// Single-threaded, deterministic.
class AnswerSizeEstimator {
 public:
  /// Kinds and sizes of hints that are remembered; each takes about 700 bytes.
  static constexpr size_t kDefaultCapacity = 2048;

  explicit AnswerSizeEstimator(size_t capacity = kDefaultCapacity) : capacity_(capacity) {}
  /// `typical` is predicted if nothing is declared and nothing was observed.
  AnswerSizePrediction predict(const RequestKind& kind, const DeclaredAnswerSize& declared, double typical) const;
  /// An answer was received completely.
  void observe(TimePoint now, const RequestKind& kind, const DeclaredAnswerSize& declared, double tokens);
  /// Number of kinds and sizes of hints that are remembered.
  size_t size() const { return entries_.size(); }

 private:
  /// What a request declares.
  enum class Source { kNothing, kHint, kMax };
  struct Declaration {
    Source source = Source::kNothing;
    double tokens = 0;
  };
  /// Stands for all sizes of hints together; sorts before any size class.
  static constexpr int kAllSizes = -1;
  struct Key {
    std::string route;
    std::string model;
    Source source = Source::kNothing;
    std::string tenant;
    /// Power of two below the declared size, or kAllSizes.
    int size_class = kAllSizes;
    auto operator<=>(const Key&) const = default;
  };
  struct Entry {
    RecentAnswers answers;
    TimePoint observed_at{};
    /// The last answer was clearly larger than its declared maximum.
    bool exceeds_max = false;
    std::list<const Key*>::iterator use;
  };

  static Declaration declaration_of(const DeclaredAnswerSize& declared);
  static Key key_of(const RequestKind& kind, const Declaration& declaration, int size_class);
  static AnswerSizePrediction predict_unlearned(const DeclaredAnswerSize& declared, const Declaration& declaration,
                                                double typical);
  const Entry* find(const Key& key) const;
  /// The entry for `key`, which becomes the most recently used.
  Entry& touch(const Key& key);
  /// `unlearned`, corrected by what other tenants of the route and model got.
  AnswerSizePrediction correct_by_others(const Key& all_sizes, const Declaration& declaration,
                                         const AnswerSizePrediction& unlearned) const;

  size_t capacity_;
  std::map<Key, Entry> entries_;
  /// From the least to the most recently used.
  std::list<const Key*> uses_;
};

}  // namespace larchlever::engine
