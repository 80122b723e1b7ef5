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

// The head of an answer to a caller.
struct ExchangeHead {
  int status = 200;
  Headers headers;
};

// The answer to one caller on its way from the dispatcher to the caller's
// connection. Safe to use from both sides at once.
class Exchange {
 public:
  // From the dispatcher's side. Only the first head counts.
  void SetHead(const ExchangeHead& head);
  void Append(const std::string& bytes);
  // Nothing follows. An answer that isn't whole ends with a broken connection,
  // so that no caller takes it for whole.
  void End(bool whole);
  // Sets head, body and end at once.
  void Answer(const ExchangeHead& head, const std::string& body);
  size_t unsent_bytes() const;
  bool has_head() const;
  bool caller_disconnected() const;

  // From the connection's side.
  struct TakeResult {
    size_t bytes = 0;
    bool ended = false;
    bool whole = false;
  };

  // Copies out up to `most` bytes. When there is nothing to tell, calls
  // `suspend` and has `resume` called once there is.
  TakeResult TakeBytes(char* to,
             size_t max_bytes,
             const std::function<void()>& suspend,
             const std::function<void()>& resume);
  // Returns the head, or calls `suspend` like Take.
  std::optional<ExchangeHead> Head(const std::function<void()>& suspend,
                                   const std::function<void()>& resume);
  // The whole body, when it has ended already and nothing was taken yet.
  std::optional<std::string> CompleteBody() const;
  void SetCallerDisconnected();

 private:
  // Expects the lock to be held.
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
