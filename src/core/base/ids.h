#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace larchlever {

/// A typed identifier: identifiers with different tags are distinct types. Ordered and hashable.
template <typename Tag, typename Value>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(Value value) : value_(std::move(value)) {}
  const Value& value() const { return value_; }
  auto operator<=>(const StrongId&) const = default;

 private:
  Value value_{};
};

using NodeId = StrongId<struct NodeIdTag, std::string>;
using MachineId = StrongId<struct MachineIdTag, std::string>;
using ReplicaId = StrongId<struct ReplicaIdTag, int64_t>;
using GroupId = StrongId<struct GroupIdTag, int64_t>;
using Incarnation = StrongId<struct IncarnationTag, int64_t>;
/// Log index at which a replicated value last changed.
using Revision = StrongId<struct RevisionTag, int64_t>;

}  // namespace larchlever

template <typename Tag, typename Value>
struct std::hash<larchlever::StrongId<Tag, Value>> {
  size_t operator()(const larchlever::StrongId<Tag, Value>& id) const { return std::hash<Value>()(id.value()); }
};
