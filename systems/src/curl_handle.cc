#include "curl_handle.h"

#include <memory>
#include <vector>

#include "carawayvalve/base/error.h"

namespace carawayvalve::systems::detail {

namespace {

struct FreeEasy {
  void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};

using OwnedEasy = std::unique_ptr<CURL, FreeEasy>;

std::vector<OwnedEasy>& IdleHandles() {
  thread_local std::vector<OwnedEasy> idle;
  return idle;
}

// curl_global_init must run once in a process, before any handle is created.
void SetUpLibcurl() {
  static const CURLcode kResult = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (kResult != CURLE_OK) {
    throw base::Error("set up", "libcurl", curl_easy_strerror(kResult));
  }
}

}  // namespace

CurlHandle::CurlHandle() {
  SetUpLibcurl();
  std::vector<OwnedEasy>& idle = IdleHandles();
  if (!idle.empty()) {
    this->easy = idle.back().release();
    idle.pop_back();
    return;
  }
  this->easy = curl_easy_init();
  if (this->easy == nullptr) {
    throw base::Error("open handle", "libcurl", "out of memory");
  }
}

CurlHandle::~CurlHandle() {
  // Clears all options and pointers.
  curl_easy_reset(this->easy);
  IdleHandles().emplace_back(this->easy);
}

CURLcode CurlHandle::Perform() {
  if (this->set_result != CURLE_OK) {
    return this->set_result;
  }
  return curl_easy_perform(this->easy);
}

int CurlHandle::Status() const {
  long status = 0;
  curl_easy_getinfo(this->easy, CURLINFO_RESPONSE_CODE, &status);
  return static_cast<int>(status);
}

}  // namespace carawayvalve::systems::detail
