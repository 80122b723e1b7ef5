#ifndef CARAWAYVALVE_SYSTEMS_SRC_CURL_HANDLE_H_
#define CARAWAYVALVE_SYSTEMS_SRC_CURL_HANDLE_H_

#include <curl/curl.h>

#include <string>

namespace carawayvalve::systems::detail {

// A libcurl easy handle for one call. Idle handles are pooled per thread, with
// the names that they have resolved; a call made inside another call's callback
// gets a handle of its own.
class CurlHandle {
 public:
  // Throws base::Error when libcurl can't be initialised or is out of memory.
  CurlHandle();
  ~CurlHandle();

  CurlHandle(const CurlHandle&) = delete;
  CurlHandle& operator=(const CurlHandle&) = delete;

  // Sets an option. Perform returns the first failure.
  template <typename Value>
  void Set(CURLoption option, Value value) {
    const CURLcode code = curl_easy_setopt(this->easy, option, value);
    if (this->set_result == CURLE_OK) {
      this->set_result = code;
    }
  }

  // Runs the transfer, unless setting an option failed.
  CURLcode Perform();

  // Returns the status of the answer; 0 before the status line arrives.
  int Status() const;

 private:
  CURL* easy = nullptr;
  CURLcode set_result = CURLE_OK;
};

}  // namespace carawayvalve::systems::detail

#endif  // CARAWAYVALVE_SYSTEMS_SRC_CURL_HANDLE_H_
