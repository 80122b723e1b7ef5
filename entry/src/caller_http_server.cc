#include "caller_http_server.h"

#include <microhttpd.h>
#include <unistd.h>

#include <atomic>
#include <charconv>
#include <utility>

#include "carawayvalve/base/address.h"
#include "carawayvalve/base/listen.h"

namespace carawayvalve::entry {

struct CallerHttpServer::Impl {
  Limits limits;
  Handler handler;
  MHD_Daemon* daemon = nullptr;
  MHD_socket listener = MHD_INVALID_SOCKET;
  std::atomic<bool> stopping = false;
  std::atomic<int64_t> open_requests = 0;
};

namespace {

constexpr size_t kBlockBytes = 16 * 1024;

// libmicrohttpd's context of one request, from its URI to its completion.
struct Call {
  CallerRequest request;
  std::shared_ptr<Exchange> exchange = std::make_shared<Exchange>();
  bool headers_read = false;
  bool answer_started = false;
  int64_t body_limit = 0;
  std::optional<Problem> refusal;
};

MHD_Result AddHeader(void* headers,
                     MHD_ValueKind,
                     const char* name,
                     const char* value) {
  static_cast<Headers*>(headers)->emplace_back(name,
                                               value == nullptr ? "" : value);
  return MHD_YES;
}

void* OnUri(void*, const char* uri, MHD_Connection*) {
  auto* call = new Call();
  call->request.target = uri;
  return call;
}

// Context of ReadStream.
struct StreamedAnswer {
  MHD_Connection* connection;
  std::shared_ptr<Exchange> exchange;
};

ssize_t ReadStream(void* state, uint64_t, char* to, size_t max_bytes) {
  const auto* stream = static_cast<StreamedAnswer*>(state);
  MHD_Connection* connection = stream->connection;
  const Exchange::TakeResult taken = stream->exchange->TakeBytes(
      to, max_bytes, [connection] { MHD_suspend_connection(connection); },
      [connection] { MHD_resume_connection(connection); });
  if (!taken.ended) {
    return static_cast<ssize_t>(taken.bytes);
  }
  return taken.whole ? MHD_CONTENT_READER_END_OF_STREAM
                     : MHD_CONTENT_READER_END_WITH_ERROR;
}

void FreeStream(void* state) {
  delete static_cast<StreamedAnswer*>(state);
}

MHD_Response* MakeResponse(MHD_Connection* connection,
                           const std::shared_ptr<Exchange>& exchange) {
  if (const auto body = exchange->CompleteBody()) {
    return MHD_create_response_from_buffer(
        body->size(), const_cast<char*>(body->data()), MHD_RESPMEM_MUST_COPY);
  }
  return MHD_create_response_from_callback(
      MHD_SIZE_UNKNOWN, kBlockBytes, &ReadStream,
      new StreamedAnswer{connection, exchange}, &FreeStream);
}

MHD_Result Respond(MHD_Connection* connection,
                   const std::shared_ptr<Exchange>& exchange,
                   bool close) {
  const std::optional<ExchangeHead> head =
      exchange->Head([connection] { MHD_suspend_connection(connection); },
                     [connection] { MHD_resume_connection(connection); });
  if (!head) {
    return MHD_YES;  // called again once the head is set
  }
  MHD_Response* response = MakeResponse(connection, exchange);
  for (const auto& [name, value] : head->headers) {
    MHD_add_response_header(response, name.c_str(), value.c_str());
  }
  if (close) {
    MHD_add_response_header(response, "Connection", "close");
  }
  const MHD_Result result = MHD_queue_response(
      connection, static_cast<unsigned>(head->status), response);
  MHD_destroy_response(response);
  return result;
}

Problem BodyTooLarge(int64_t limit) {
  return {.status = 413,
          .title = "Body too large",
          .detail =
              "the body may have " + std::to_string(limit) + " bytes at most"};
}

std::optional<Problem> CheckHead(const Call& call, const char* version) {
  if (std::string(version) != "HTTP/1.1") {
    return Problem{.status = 505,
                   .title = "HTTP version not supported",
                   .detail =
                       "HTTP/1.1 is needed, so that a broken answer can "
                       "be told from a whole one"};
  }
  const std::string length = FindHeader(call.request.headers, "Content-Length");
  int64_t bytes = 0;
  std::from_chars(length.data(), length.data() + length.size(), bytes);
  if (bytes > call.body_limit) {
    return BodyTooLarge(call.body_limit);
  }
  return std::nullopt;
}

// Answers with the problem without reading further, then closes the connection.
MHD_Result Refuse(MHD_Connection* connection,
                  Call& call,
                  const Problem& problem) {
  const base::RequestId request{base::RandomName()};
  call.answer_started = true;
  call.exchange->Answer(ProblemHead(problem, request),
                        ProblemBody(problem, request));
  return Respond(connection, call.exchange, true);
}

}  // namespace

// libmicrohttpd's callbacks. A friend of the server, to access its Impl.
struct CallerHttpServerCallbacks {
  static MHD_Result OnRequest(void* state,
                              MHD_Connection* connection,
                              const char* url,
                              const char* method,
                              const char* version,
                              const char* upload,
                              size_t* upload_size,
                              void** context) {
    auto& server = *static_cast<CallerHttpServer::Impl*>(state);
    auto& call = *static_cast<Call*>(*context);
    if (!call.headers_read) {
      return ReadHead(server, connection, call, url, method, version);
    }
    if (*upload_size > 0) {
      ReadBody(call, upload, *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
    if (call.refusal && !call.answer_started) {
      return Refuse(connection, call, *call.refusal);
    }
    if (!call.answer_started) {
      call.answer_started = true;
      server.handler(call.request, call.exchange);
    }
    return Respond(connection, call.exchange, server.stopping);
  }

  static MHD_Result ReadHead(CallerHttpServer::Impl& server,
                             MHD_Connection* connection,
                             Call& call,
                             const char* url,
                             const char* method,
                             const char* version) {
    server.open_requests += 1;
    call.headers_read = true;
    call.request.method = method;
    call.request.path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &AddHeader,
                              &call.request.headers);
    call.body_limit = server.limits.max_body_bytes();
    const std::optional<Problem> problem = CheckHead(call, version);
    return problem ? Refuse(connection, call, *problem) : MHD_YES;
  }

  static void ReadBody(Call& call, const char* bytes, size_t count) {
    if (call.refusal) {
      return;
    }
    if (static_cast<int64_t>(call.request.body.size() + count) >
        call.body_limit) {
      call.refusal = BodyTooLarge(call.body_limit);
      call.request.body.clear();
      return;
    }
    call.request.body.append(bytes, count);
  }

  static void OnCompleted(void* state,
                          MHD_Connection*,
                          void** context,
                          MHD_RequestTerminationCode) {
    auto& server = *static_cast<CallerHttpServer::Impl*>(state);
    auto* call = static_cast<Call*>(*context);
    if (call == nullptr) {
      return;
    }
    if (call->headers_read) {
      server.open_requests -= 1;
    }
    call->exchange->SetCallerDisconnected();
    delete call;
    *context = nullptr;
  }
};

CallerHttpServer::CallerHttpServer(const std::string& address,
                                   const Limits& limits,
                                   Handler handler)
    : impl(std::make_unique<Impl>()) {
  this->impl->limits = limits;
  this->impl->handler = std::move(handler);
  const sockaddr_in listening_address =
      base::ToSocketAddress(base::ParseAddress(address));
  this->impl->daemon = MHD_start_daemon(
      MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_EPOLL |
          MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC,
      0, nullptr, nullptr, &CallerHttpServerCallbacks::OnRequest,
      this->impl.get(), MHD_OPTION_SOCK_ADDR, &listening_address,
      MHD_OPTION_URI_LOG_CALLBACK, &OnUri, nullptr, MHD_OPTION_NOTIFY_COMPLETED,
      &CallerHttpServerCallbacks::OnCompleted, this->impl.get(),
      MHD_OPTION_THREAD_POOL_SIZE, limits.threads, MHD_OPTION_CONNECTION_LIMIT,
      limits.max_connections, MHD_OPTION_CONNECTION_TIMEOUT, limits.max_idle_s,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, limits.max_header_bytes,
      MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024U, MHD_OPTION_END);
  if (this->impl->daemon == nullptr) {
    throw base::ListenError("listen for callers", address,
                            "can't listen there");
  }
}

CallerHttpServer::~CallerHttpServer() {
  MHD_stop_daemon(this->impl->daemon);
  if (this->impl->listener != MHD_INVALID_SOCKET) {
    close(this->impl->listener);
  }
}

void CallerHttpServer::StopAccepting() {
  this->impl->stopping = true;
  if (this->impl->listener == MHD_INVALID_SOCKET) {
    this->impl->listener = MHD_quiesce_daemon(this->impl->daemon);
  }
}

int64_t CallerHttpServer::open_requests() const {
  return this->impl->open_requests;
}

}  // namespace carawayvalve::entry
