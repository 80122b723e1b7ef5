#ifndef CARAWAYVALVE_SYSTEMS_TESTS_ODD_HEADS_H_
#define CARAWAYVALVE_SYSTEMS_TESTS_ODD_HEADS_H_

#include <string>
#include <utility>
#include <vector>

namespace carawayvalve::systems {

// What a server in trouble sends in place of an answer: the name of the case,
// and all bytes up to an orderly end of the connection.
using OddAnswer = std::pair<std::string, std::string>;

// Returns answers whose status is no status.
inline std::vector<OddAnswer> OddStatuses() {
  std::vector<OddAnswer> answers;
  for (const char* status :
       {"000", "007", "099", "20", "2000", "+20", "", "2 0", "-20", "abc"}) {
    answers.push_back({std::string("status ") + status,
                       std::string("HTTP/1.1 ") + status +
                           " OK\r\nContent-Length: 2\r\n\r\nok"});
  }
  return answers;
}

// Returns answers in whose heads a line is no field.
inline std::vector<OddAnswer> OddFields() {
  std::vector<OddAnswer> answers;
  const std::vector<std::pair<std::string, std::string>> lines = {
      {"a blank in the name", "X Bad: v"},
      {"a tab in the name", "X\tBad: v"},
      {"a control byte in the name",
       "X\x01"
       "Bad: v"},
      {"a carriage return in the name", "X\rBad: v"},
      {"DEL in the name",
       "X\x7f"
       "Bad: v"},
      {"NUL in the name", std::string("X\0Bad: v", 8)},
      {"a byte over 127 in the name",
       "X\xe9"
       "Bad: v"},
      {"a bracket in the name", "X(Bad: v"},
      {"a quote in the name", "X\"Bad: v"},
      {"a blank before the colon", "X-Bad : v"},
      {"an empty name", ": v"},
      {"no colon", "X-Bad v"},
      {"NUL in the value", std::string("X-Bad: v\0w", 10)},
  };
  for (const auto& [name, line] : lines) {
    answers.push_back({name, "HTTP/1.1 200 OK\r\nX-A: 1\r\n" + line +
                                 "\r\nContent-Length: 2\r\n\r\nok"});
  }
  return answers;
}

// Returns answers with bodies in a transfer coding that nobody asked for.
inline std::vector<OddAnswer> OddCodings() {
  const std::string status = "HTTP/1.1 200 OK\r\n";
  const std::string chunks = "\r\n\r\n2\r\nok\r\n0\r\n\r\n";
  return {
      {"gzip", status + "Transfer-Encoding: gzip\r\n\r\nok"},
      {"gzip with a length",
       status + "Transfer-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok"},
      {"gzip in chunks", status + "Transfer-Encoding: gzip, chunked" + chunks},
      {"gzip and chunks in two fields",
       status + "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked" +
           chunks},
      {"deflate", status + "Transfer-Encoding: deflate\r\n\r\nok"},
      {"one that isn't known", status + "Transfer-Encoding: rot13\r\n\r\nok"},
      {"chunks inside gzip",
       status + "Transfer-Encoding: chunked, gzip\r\n\r\nok"},
  };
}

// Returns answers whose ends can't be told for sure.
inline std::vector<OddAnswer> OddLengths() {
  const std::string status = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = status + "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"two lengths",
       status + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok"},
      {"a length and chunks",
       status + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
                "2\r\nok\r\n0\r\n\r\n"},
      {"a negative length", status + "Content-Length: -2\r\n\r\nok"},
      {"a length with a sign", status + "Content-Length: +2\r\n\r\nok"},
      {"a length that is text", status + "Content-Length: two\r\n\r\nok"},
      {"an empty length", status + "Content-Length: \r\n\r\nok"},
      {"a chunk size that is text", chunked + "x\r\nok\r\n0\r\n\r\n"},
      {"a negative chunk size", chunked + "-2\r\nok\r\n0\r\n\r\n"},
      {"a chunk without its line end", chunked + "2\r\nokok0\r\n\r\n"},
      {"a trailer without a colon", chunked + "2\r\nok\r\n0\r\nbad\r\n\r\n"},
      {"an interim answer alone", "HTTP/1.1 103 Early\r\n\r\n"},
  };
}

}  // namespace carawayvalve::systems

#endif  // CARAWAYVALVE_SYSTEMS_TESTS_ODD_HEADS_H_
