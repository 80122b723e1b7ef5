#ifndef CARAWAYVALVE_ENTRY_SRC_EXCHANGE_H_
#define CARAWAYVALVE_ENTRY_SRC_EXCHANGE_H_

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace carawayvalve::entry {

using Headers = std::vector<std::pair<std::string, std::string>>;

// Status and headers of an answer to a caller.
struct ExchangeHead {
  int status = 200;
  Headers headers;
};

// Buffers the answer to one caller between the dispatcher, which writes it, and
// the caller's connection, which sends it. Thread-safe.
class Exchange {
 public:
  // Called by the dispatcher. Heads after the first are ignored.
  void SetHead(const ExchangeHead& head);
  void Append(const std::string& bytes);
  // Ends the answer. An answer that isn't whole ends with a broken connection,
  // so that no caller mistakes it for a complete one.
  void End(bool whole);
  // Sets head, body and end at once, unless a head was set before.
  void Answer(const ExchangeHead& head, const std::string& body);
  size_t unsent_bytes() const;
  bool has_head() const;
  bool caller_disconnected() const;

  // Called by the connection.
  struct TakeResult {
    size_t bytes = 0;
    bool ended = false;
    bool whole = false;
  };

  // Copies up to `max_bytes` unsent bytes to `to`. If there are none and the
  // answer hasn't ended, calls `suspend`, and `resume` once something follows.
  TakeResult TakeBytes(char* to,
                       size_t max_bytes,
                       const std::function<void()>& suspend,
                       const std::function<void()>& resume);
  // Returns the head if it is set, otherwise suspends like TakeBytes.
  std::optional<ExchangeHead> Head(const std::function<void()>& suspend,
                                   const std::function<void()>& resume);
  // Returns the body if it is complete and none of it has been taken.
  std::optional<std::string> CompleteBody() const;
  void SetCallerDisconnected();

 private:
  // The lock must be held.
  void ResumeReader();
  void SuspendReader(const std::function<void()>& suspend,
                     const std::function<void()>& resume);

  mutable std::mutex mutex;
  std::optional<ExchangeHead> head;
  std::string buffer;
  size_t sent = 0;  // of `buffer`
  bool ended = false;
  bool whole = false;
  bool disconnected = false;
  std::function<void()> resume_reader;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_EXCHANGE_H_
