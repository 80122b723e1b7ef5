#include "carawayvalve/systems/operator_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>

#include <utility>

#include "carawayvalve/base/address.h"
#include "carawayvalve/base/listen.h"

namespace carawayvalve::systems {

struct OperatorServer::Impl {
  std::map<std::string, Handler> pages;
  MHD_Daemon* daemon = nullptr;
};

namespace {

MHD_Result Respond(MHD_Connection* connection, const OperatorAnswer& answer) {
  MHD_Response* response = MHD_create_response_from_buffer(
      answer.body.size(), const_cast<char*>(answer.body.data()),
      MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(response, "Content-Type",
                          answer.content_type.c_str());
  const MHD_Result result = MHD_queue_response(
      connection, static_cast<unsigned>(answer.status), response);
  MHD_destroy_response(response);
  return result;
}

OperatorAnswer Answer(
    const std::map<std::string, OperatorServer::Handler>& pages,
    const std::string& method,
    const std::string& path) {
  if (method != "GET") {
    return {405, "text/plain", "only GET is allowed here\n"};
  }
  const auto page = pages.find(path);
  if (page == pages.end()) {
    std::string served_pages;
    for (const auto& [name, handler] : pages) {
      served_pages += " " + name;
    }
    return {404, "text/plain", "no such page; there are" + served_pages + "\n"};
  }
  try {
    return page->second();
  } catch (const std::exception& error) {
    return {500, "text/plain", std::string(error.what()) + "\n"};
  }
}

MHD_Result OnRequest(void* pages,
                     MHD_Connection* connection,
                     const char* url,
                     const char* method,
                     const char*,
                     const char*,
                     size_t* upload_size,
                     void** state) {
  if (*state == nullptr) {
    *state = pages;  // marks that the headers have been received
    return MHD_YES;
  }
  if (*upload_size != 0) {
    *upload_size = 0;
    return MHD_YES;
  }
  const auto& served_pages =
      *static_cast<const std::map<std::string, OperatorServer::Handler>*>(
          pages);
  return Respond(connection, Answer(served_pages, method, url));
}

}  // namespace

OperatorServer::OperatorServer(const std::string& address,
                               std::map<std::string, Handler> pages)
    : impl(std::make_unique<Impl>()) {
  this->impl->pages = std::move(pages);
  const sockaddr_in at = base::ToSocketAddress(base::ParseAddress(address));
  this->impl->daemon =
      MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_EPOLL, 0,
                       nullptr, nullptr, &OnRequest, &this->impl->pages,
                       MHD_OPTION_SOCK_ADDR, &at, MHD_OPTION_CONNECTION_TIMEOUT,
                       10U, MHD_OPTION_CONNECTION_LIMIT, 64U, MHD_OPTION_END);
  if (this->impl->daemon == nullptr) {
    throw base::ListenError("listen for operators", address,
                            "can't listen there");
  }
}

OperatorServer::~OperatorServer() {
  MHD_stop_daemon(this->impl->daemon);
}

}  // namespace carawayvalve::systems
