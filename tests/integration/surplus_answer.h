#pragma once

#include <gtest/gtest.h>

#include <ostream>
#include <string>
#include <vector>

#include "mixed_callers.h"

namespace larchlever::integration {

/// A response that a faulty server sends where the response to another request is due.
struct SurplusAnswer {
  static constexpr const char* kBody = "surplus";

  std::string name;
  std::string status;
  /// Header lines.
  std::string fields;
  /// Sent ahead of it.
  std::string interim_response;

  std::string to_bytes() const {
    const std::string body = kBody;
    return interim_response + "HTTP/1.1 " + status + "\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
};

inline std::ostream& operator<<(std::ostream& out, const SurplusAnswer& answer) { return out << answer.name; }

inline std::vector<SurplusAnswer> surplus_answers() {
  const std::string not_run = "Larchlever-Not-Run: 1\r\n";
  const std::string is_signed = "Larchlever-Signature: signed\r\n";
  const std::string other_id = "Larchlever-Request-Id: another\r\n";
  return {{"RefusalWithoutId", "503 Service Unavailable", not_run, ""},
          {"MalformedRequestWithoutId", "400 Bad Request", not_run, ""},
          {"MisdirectedWithoutId", "421 Misdirected Request", "", ""},
          {"RefusalOfAnotherRequest", "429 Too Many Requests", not_run + other_id, ""},
          {"SuccessWithoutId", "200 OK", is_signed, ""},
          {"SuccessAfterInterimResponse", "200 OK", is_signed, "HTTP/1.1 102 Processing\r\n\r\n"}};
}

inline void expect_no_surplus_body(const std::vector<CallResult>& results) {
  for (const auto& result : results) {
    EXPECT_EQ(result.description.find(SurplusAnswer::kBody), std::string::npos)
        << result.request_id << " got the answer of no request: " << result.description;
  }
}

}  // namespace larchlever::integration
