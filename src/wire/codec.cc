#include "wire/codec.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <memory>

namespace larchlever::wire {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

constexpr int kMaxNestingDepth = 32;
constexpr int kMinMessageLimitBytes = 64;

}  // namespace

template <typename Message>
std::string encode(const Message& message) {
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  message.write(&protocol);
  return buffer->getBufferAsString();
}

template <typename Message>
std::optional<Message> decode(std::string_view bytes) {
  try {
    const int max_message_bytes =
        std::max<int>(kMinMessageLimitBytes, static_cast<int>(bytes.size()) + kMinMessageLimitBytes);
    auto configuration = std::make_shared<TConfiguration>(max_message_bytes, max_message_bytes, kMaxNestingDepth);
    // The buffer does not modify the bytes: TMemoryBuffer never writes under the OBSERVE policy.
    auto* data = reinterpret_cast<uint8_t*>(const_cast<char*>(bytes.data()));
    auto buffer = std::make_shared<TMemoryBuffer>(data, static_cast<uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE,
                                                  configuration);
    TCompactProtocolT<TMemoryBuffer> protocol(buffer, max_message_bytes, max_message_bytes);
    Message message;
    message.read(&protocol);
    return message;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

#define LARCHLEVER_CODEC(Type)                    \
  template std::string encode<Type>(const Type&); \
  template std::optional<Type> decode<Type>(std::string_view);

LARCHLEVER_CODEC(Envelope)
LARCHLEVER_CODEC(Command)
LARCHLEVER_CODEC(ControlSnapshot)
LARCHLEVER_CODEC(ReplicaSet)
LARCHLEVER_CODEC(LogEntry)
LARCHLEVER_CODEC(HardState)
LARCHLEVER_CODEC(SnapshotHeader)
LARCHLEVER_CODEC(SnapshotRequest)
LARCHLEVER_CODEC(Template)
LARCHLEVER_CODEC(Tenant)
LARCHLEVER_CODEC(Service)
LARCHLEVER_CODEC(FleetParameters)
LARCHLEVER_CODEC(Group)
LARCHLEVER_CODEC(Record)
LARCHLEVER_CODEC(Heartbeat)
LARCHLEVER_CODEC(HeartbeatReply)
LARCHLEVER_CODEC(OperatorRequest)
LARCHLEVER_CODEC(OperatorReply)
LARCHLEVER_CODEC(DocumentChange)
LARCHLEVER_CODEC(FleetLogSnapshot)
LARCHLEVER_CODEC(FleetState)

#undef LARCHLEVER_CODEC

}  // namespace larchlever::wire
