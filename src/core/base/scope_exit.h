#pragma once

#include <utility>

namespace larchlever {

/// Runs a function at the end of the scope, also when it is left by an exception.
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
