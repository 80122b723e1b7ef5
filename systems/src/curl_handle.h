#ifndef CARAWAYVALVE_SYSTEMS_SRC_CURL_HANDLE_H_
#define CARAWAYVALVE_SYSTEMS_SRC_CURL_HANDLE_H_

#include <curl/curl.h>

#include <string>

namespace carawayvalve::systems::detail {

// A libcurl handle for one call. Each thread keeps its idle handles with their
// open connections; a call made inside another's callback gets its own.
class CurlHandle {
 public:
  // Throws base::Error when libcurl has no memory.
  CurlHandle();
  ~CurlHandle();

  CurlHandle(const CurlHandle&) = delete;
  CurlHandle& operator=(const CurlHandle&) = delete;

  // Sets an option; a failure is kept until Perform.
  template <typename Value>
  void Set(CURLoption option, Value value) {
    const CURLcode code = curl_easy_setopt(this->easy, option, value);
    if (this->set_result == CURLE_OK) {
      this->set_result = code;
    }
  }

  // Runs the transfer, unless an option was refused.
  CURLcode Perform();

  // The status of the answer so far; 0 before its first line.
  int Status() const;

 private:
  CURL* easy = nullptr;
  CURLcode set_result = CURLE_OK;
};

}  // namespace carawayvalve::systems::detail

#endif  // CARAWAYVALVE_SYSTEMS_SRC_CURL_HANDLE_H_
