#ifndef CARAWAYVALVE_TESTS_PROCESSES_BACKGROUND_CALL_H_
#define CARAWAYVALVE_TESTS_PROCESSES_BACKGROUND_CALL_H_

#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "carawayvalve/systems/http_client.h"
#include "deployment.h"

namespace carawayvalve::tests {

// A caller's request that runs on a thread of its own. The destructor waits for
// its end.
class BackgroundCall {
 public:
  BackgroundCall(const Deployment& deployment,
                 const std::string& entry,
                 const std::string& method,
                 const std::string& path,
                 const std::string& key,
                 const std::string& body,
                 const std::vector<systems::HttpHeader>& headers = {});
  ~BackgroundCall();

  BackgroundCall(const BackgroundCall&) = delete;
  BackgroundCall& operator=(const BackgroundCall&) = delete;

  // Returns the part of the body that has arrived so far.
  std::string Body() const;
  int Status() const;

  // Waits for the end of the request and returns its result.
  struct Result {
    int status = 0;
    std::string body;
    // The response ended as its HTTP framing requires.
    bool complete = false;
  };
  Result Wait();

 private:
  mutable std::mutex mutex;
  Result result;
  std::thread thread;
};

// Returns the body of a chat request with this content.
std::string ChatBody(const std::string& content,
                     bool stream,
                     int max_tokens = 64);

// Returns the text of a streamed answer: the concatenated contents of its
// events.
std::string StreamText(const std::string& body);

// Returns the text of a chat answer that wasn't streamed.
std::string AnswerText(const std::string& body);

// Returns whether a stream ends with its end marker.
bool HasEndMarker(const std::string& body);

inline constexpr char kChatPath[] = "/v1/chat/completions";

}  // namespace carawayvalve::tests

#endif  // CARAWAYVALVE_TESTS_PROCESSES_BACKGROUND_CALL_H_
