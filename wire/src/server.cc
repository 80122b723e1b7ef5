#include "carawayvalve/wire/server.h"

#include <thrift/TProcessor.h>
#include <thrift/server/TThreadedServer.h>

#include <exception>
#include <future>
#include <mutex>
#include <thread>

#include "carawayvalve/base/address.h"
#include "carawayvalve/base/listen.h"
#include "carawayvalve/wire/limits.h"
#include "framing.h"
#include "listening_socket.h"
#include "thrift_log.h"

namespace carawayvalve::wire {

namespace {

using apache::thrift::server::TThreadedServer;

// Reports that the server is listening, or why it can't.
class StartSignal : public apache::thrift::server::TServerEventHandler {
 public:
  void preServe() override { this->Report(""); }

  void Report(const std::string& fault) {
    std::call_once(this->once, [&] { this->started.set_value(fault); });
  }

  std::string Wait() { return this->started.get_future().get(); }

 private:
  std::once_flag once;
  std::promise<std::string> started;
};

}  // namespace

struct Server::Impl {
  std::unique_ptr<TThreadedServer> server;
  std::thread thread;
};

Server::Server(const std::string& purpose,
               const std::string& address,
               const std::shared_ptr<apache::thrift::TProcessor>& processor)
    : impl(std::make_unique<Impl>()) {
  const base::Address listening_address = base::ParseAddress(address);
  detail::RouteThriftLog();
  this->impl->server = std::make_unique<TThreadedServer>(
      processor, std::make_shared<detail::ListeningSocket>(listening_address),
      std::make_shared<detail::LimitedFramedTransportFactory>(),
      std::make_shared<detail::LimitedProtocolFactory>());
  this->impl->server->setConcurrentClientLimit(kMaxConnections);
  auto signal = std::make_shared<StartSignal>();
  this->impl->server->setServerEventHandler(signal);
  this->impl->thread = std::thread([server = this->impl->server.get(), signal] {
    try {
      server->serve();
    } catch (const std::exception& error) {
      signal->Report(error.what());
    }
    signal->Report("the listener stopped immediately");
  });
  const std::string fault = signal->Wait();
  if (!fault.empty()) {
    this->impl->thread.join();
    throw base::ListenError("listen for " + purpose, address, fault);
  }
}

Server::~Server() {
  this->impl->server->stop();
  this->impl->thread.join();
}

}  // namespace carawayvalve::wire
