#pragma once

#include <utility>

namespace larchlever {

/// Runs a function when the scope ends, however it ends.
template <typename Function>
class ScopeExit {
 public:
  explicit ScopeExit(Function function) : function_(std::move(function)) {}
  ~ScopeExit() { function_(); }
  ScopeExit(const ScopeExit&) = delete;
  ScopeExit& operator=(const ScopeExit&) = delete;

 private:
  Function function_;
};

}  // namespace larchlever
