#include "carawayvalve/systems/http_client.h"

#include <algorithm>
#include <array>
#include <exception>
#include <optional>

#include "answer_budget.h"
#include "carawayvalve/base/error.h"
#include "carawayvalve/core/transfer_progress.h"
#include "curl_handle.h"
#include "http_headers.h"

namespace carawayvalve::systems {

namespace {

constexpr int kFirstFinalStatus = 200;  // lower ones are interim responses
// All heads of a response, interim ones included, and its trailers.
constexpr size_t kMaxHeaderBytes = size_t{64} * 1024;
// The body of a response that is read as a whole.
constexpr size_t kMaxBodyBytes = size_t{64} * 1024 * 1024;

// What the bodies of all responses that are read as a whole hold together is
// bounded as a single one is.
detail::AnswerBudget& BudgetOfProcess() {
  static detail::AnswerBudget budget(kMaxBodyBytes);
  return budget;
}

// The state of one call, passed to libcurl's callbacks.
struct Transfer {
  const HttpSink& sink;
  const detail::CurlHandle& handle;
  std::vector<HttpHeader> headers = {};
  // A connection is established; the peer may have received the request.
  bool is_connected = false;
  bool is_head_complete = false;
  bool has_invalid_header = false;
  size_t header_bytes = 0;
  bool ended_by_sink = false;
  // Empty for a call whose whole time is limited.
  std::optional<base::Milliseconds> period;
  base::Instant period_ends_at;
  core::TransferProgress progress = {};
  bool is_stalled = false;
  // A callback's exception, as exceptions must not pass through libcurl.
  std::exception_ptr failure = nullptr;
};

// Runs `callback` and keeps its exception. Returns whether the call continues.
template <typename Callback>
bool RunCallback(Transfer& transfer, const Callback& callback) {
  try {
    if (callback()) {
      return true;
    }
    transfer.ended_by_sink = true;
  } catch (...) {
    transfer.failure = std::current_exception();
  }
  return false;
}

bool IsCancelled(const HttpSink& sink) {
  return sink.cancelled && sink.cancelled();
}

// Passes the head to the sink at the blank line that ends it. Drops the head of
// an interim response.
bool CompleteHead(Transfer& transfer) {
  const int status = transfer.handle.Status();
  if (status < kFirstFinalStatus) {
    transfer.headers.clear();
    return true;
  }
  transfer.is_head_complete = true;
  return RunCallback(transfer, [&transfer, status] {
    return !transfer.sink.head || transfer.sink.head(status, transfer.headers);
  });
}

size_t OnHeader(char* bytes, size_t size, size_t count, void* user) {
  Transfer& transfer = *static_cast<Transfer*>(user);
  const size_t length = size * count;
  transfer.header_bytes += length;
  if (transfer.header_bytes > kMaxHeaderBytes) {
    return 0;
  }
  // libcurl passes trailers to this callback too, after the body.
  if (transfer.is_head_complete) {
    return length;
  }
  const std::string line(bytes, length);
  if (line == "\r\n" || line == "\n") {
    return CompleteHead(transfer) ? length : 0;
  }
  // The status line comes first, and begins anew after an interim response.
  if (line.starts_with("HTTP/")) {
    return length;
  }
  const bool is_continued = line.front() == ' ' || line.front() == '\t';
  if (is_continued && !transfer.headers.empty()) {
    transfer.headers.back().second += ' ' + detail::Trim(line);
    return length;
  }
  HttpHeader header = detail::ParseHeaderLine(line);
  transfer.has_invalid_header = !detail::IsToken(header.first);
  if (transfer.has_invalid_header) {
    return 0;
  }
  transfer.headers.push_back(std::move(header));
  return length;
}

size_t OnBody(char* bytes, size_t size, size_t count, void* user) {
  Transfer& transfer = *static_cast<Transfer*>(user);
  const size_t length = size * count;
  const bool continues = RunCallback(transfer, [&transfer, bytes, length] {
    const bool wanted =
        !transfer.sink.body || transfer.sink.body(bytes, length);
    return wanted && !IsCancelled(transfer.sink);
  });
  return continues ? length : 0;
}

// Returns whether a period without enough progress has ended.
bool IsStalled(Transfer& transfer, size_t received_bytes) {
  const base::Instant now = base::Now();
  if (!transfer.period.has_value() || now < transfer.period_ends_at) {
    return false;
  }
  transfer.period_ends_at = now + *transfer.period;
  return !transfer.progress.Continues(received_bytes, *transfer.period);
}

int OnProgress(void* user,
               curl_off_t,
               curl_off_t received,
               curl_off_t,
               curl_off_t) {
  Transfer& transfer = *static_cast<Transfer*>(user);
  transfer.is_stalled = IsStalled(transfer, static_cast<size_t>(received));
  if (transfer.is_stalled) {
    return 1;
  }
  const bool continues = RunCallback(
      transfer, [&transfer] { return !IsCancelled(transfer.sink); });
  return continues ? 0 : 1;
}

// Called when the connection is ready, before the request is sent.
int OnConnected(void* user, char*, char*, int, int) {
  static_cast<Transfer*>(user)->is_connected = true;
  return CURL_PREREQFUNC_OK;
}

// Returns host and port of a URL for use in errors.
std::string HostAndPort(const std::string& url) {
  const size_t scheme = url.find("://");
  const size_t begin = scheme == std::string::npos ? 0 : scheme + 3;
  const size_t end = url.find_first_of("/?#", begin);
  return url.substr(begin, end == std::string::npos ? end : end - begin);
}

bool IsUrl(const std::string& url) {
  return std::all_of(url.begin(), url.end(), [](char c) {
    return static_cast<unsigned char>(c) > ' ' && c != '\x7f';
  });
}

// Returns whether libcurl found one header too long for its own buffer, which
// it reports as a lack of memory.
bool IsHeaderTooLong(CURLcode code) {
  return code == CURLE_OUT_OF_MEMORY;
}

// Rejects a request that would reach the peer in another form than given.
void CheckRequest(const std::string& step, const HttpRequest& request) {
  const auto refuse = [&](const std::string& reason) {
    throw base::NotReachedError(step, HostAndPort(request.url), reason);
  };
  if (!detail::IsToken(request.method)) {
    refuse("the method is not a token");
  }
  if (!IsUrl(request.url)) {
    refuse("the URL contains a space or a control character");
  }
  for (const auto& [name, value] : request.headers) {
    if (!detail::IsToken(name) || !detail::IsHeaderValue(value)) {
      refuse("a header has an invalid name or a value that is not one line");
    }
  }
  // libcurl treats 0 as no limit.
  if (request.timeout <= base::Milliseconds(0)) {
    refuse("the timeout is zero or negative");
  }
}

void SetRequest(detail::CurlHandle& handle, const HttpRequest& request) {
  handle.Set(CURLOPT_URL, request.url.c_str());
  // Sends "/../" in a path unchanged.
  handle.Set(CURLOPT_PATH_AS_IS, 1L);
  const bool takes_body = request.method == "POST" || request.method == "PUT" ||
                          request.method == "PATCH";
  if (takes_body || !request.body.empty()) {
    handle.Set(CURLOPT_POSTFIELDS, request.body.data());
    handle.Set(CURLOPT_POSTFIELDSIZE_LARGE,
               static_cast<curl_off_t>(request.body.size()));
  }
  // Without this, libcurl waits for the body that the answer to HEAD announces.
  if (request.method == "HEAD") {
    handle.Set(CURLOPT_NOBODY, 1L);
  }
  handle.Set(CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

void SetConnection(detail::CurlHandle& handle, const HttpRequest& request) {
  handle.Set(CURLOPT_PROTOCOLS_STR, "http,https");
  handle.Set(CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
  handle.Set(CURLOPT_PROXY, "");
  handle.Set(CURLOPT_NOSIGNAL, 1L);
  handle.Set(CURLOPT_FOLLOWLOCATION, 0L);
  const base::Milliseconds transfer_time =
      request.period.value_or(base::Milliseconds(0)) *
      core::kMaxTransferPeriods;
  handle.Set(CURLOPT_TIMEOUT_MS,
             static_cast<long>((request.timeout + transfer_time).count()));
  // On a kept connection, the first answer can be a copy of an earlier one, and
  // libcurl resends a request when the connection turns out to be closed.
  handle.Set(CURLOPT_FRESH_CONNECT, 1L);
  handle.Set(CURLOPT_FORBID_REUSE, 1L);
}

void SetCallbacks(detail::CurlHandle& handle, Transfer& transfer) {
  handle.Set(CURLOPT_HEADERFUNCTION, &OnHeader);
  handle.Set(CURLOPT_HEADERDATA, &transfer);
  handle.Set(CURLOPT_WRITEFUNCTION, &OnBody);
  handle.Set(CURLOPT_WRITEDATA, &transfer);
  handle.Set(CURLOPT_XFERINFOFUNCTION, &OnProgress);
  handle.Set(CURLOPT_XFERINFODATA, &transfer);
  handle.Set(CURLOPT_NOPROGRESS, 0L);
  handle.Set(CURLOPT_PREREQFUNCTION, &OnConnected);
  handle.Set(CURLOPT_PREREQDATA, &transfer);
}

}  // namespace

bool HttpStream(const std::string& step,
                const HttpRequest& request,
                const HttpSink& sink) {
  CheckRequest(step, request);
  const detail::HeaderLines lines = detail::ToHeaderLines(request.headers);
  std::array<char, CURL_ERROR_SIZE> details = {};
  detail::CurlHandle handle;
  Transfer transfer{sink, handle};
  transfer.period = request.period;
  transfer.period_ends_at = base::Now() + request.timeout;
  SetConnection(handle, request);
  SetRequest(handle, request);
  SetCallbacks(handle, transfer);
  handle.Set(CURLOPT_HTTPHEADER, lines.get());
  handle.Set(CURLOPT_ERRORBUFFER, details.data());

  const CURLcode code = handle.Perform();
  if (transfer.failure != nullptr) {
    std::rethrow_exception(transfer.failure);
  }
  if (transfer.ended_by_sink) {
    return false;
  }
  if (code == CURLE_OK && transfer.is_head_complete) {
    return true;
  }
  if (transfer.has_invalid_header) {
    throw base::UnreadableAnswerError(step, HostAndPort(request.url),
                                      "a line of its head is no header");
  }
  if (transfer.header_bytes > kMaxHeaderBytes || IsHeaderTooLong(code)) {
    throw base::UnreadableAnswerError(step, HostAndPort(request.url),
                                      "its headers are too long");
  }
  const std::string reason = transfer.is_stalled  ? "the answer has stalled"
                             : details[0] == '\0' ? curl_easy_strerror(code)
                                                  : details.data();
  if (!transfer.is_connected) {
    throw base::NotReachedError(step, HostAndPort(request.url), reason);
  }
  throw base::UnknownOutcomeError(step, HostAndPort(request.url), reason);
}

HttpResponse HttpCall(const std::string& step, const HttpRequest& request) {
  HttpResponse response;
  detail::AnswerBudget::Share share(BudgetOfProcess());
  HttpSink sink;
  sink.head = [&response](int status, const std::vector<HttpHeader>& headers) {
    response.status = status;
    response.headers = headers;
    return true;
  };
  sink.body = [&](const char* bytes, size_t count) {
    if (count > kMaxBodyBytes - response.body.size()) {
      throw base::UnknownOutcomeError(step, HostAndPort(request.url),
                                      "its body is too long");
    }
    share.Resize(response.body.size() + count);
    if (!share.dropped()) {
      response.body.append(bytes, count);
    }
    return true;
  };
  sink.cancelled = [&share] { return share.dropped(); };
  if (!HttpStream(step, request, sink)) {
    throw base::UnknownOutcomeError(step, HostAndPort(request.url),
                                    "all answers together are too long");
  }
  return response;
}

}  // namespace carawayvalve::systems
