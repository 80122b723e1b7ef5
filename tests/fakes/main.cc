#include <pthread.h>

#include <csignal>
#include <exception>
#include <iostream>
#include <map>
#include <string>

#include "forwarder.h"
#include "http_server.h"
#include "options.h"
#include "stand_ins.h"

namespace carawayvalve::fakes {

namespace {

using Factory = Handler (*)(const Options&, const std::stop_token&);

const std::map<std::string, Factory>& Factories() {
  static const std::map<std::string, Factory> kFactories = {
      {"object-api", &MakeObjectApi},
      {"host-list", &MakeHostList},
      {"backend-servers", &MakeBackendServers},
      {"usage", &MakeUsage},
      {"weights", &MakeWeights},
      {"engine", &MakeEngine},
      {"plain", &MakePlainService},
  };
  return kFactories;
}

// Must run before any thread starts, so that all threads inherit the mask.
sigset_t BlockTerminationSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

void WaitForTermination(const sigset_t& signals) {
  int signal = 0;
  sigwait(&signals, &signal);
}

void RunForwarder(const Options& options,
                  const std::stop_token& stop,
                  const sigset_t& signals) {
  Forwarder forwarder(options.Port("--port"), options.Text("--to"));
  const HttpServer control(
      options.Port("--control-port"),
      [&](const Request& request) { return forwarder.Control(request); }, stop);
  std::cout << "ready " << forwarder.port() << "\ncontrol " << control.port()
            << std::endl;
  WaitForTermination(signals);
}

void RunStandIn(const Options& options,
                std::stop_source& stop,
                const sigset_t& signals) {
  const Factory factory = Factories().at(options.kind());
  const HttpServer server(options.Port("--port"),
                          factory(options, stop.get_token()), stop.get_token());
  std::cout << "ready " << server.port() << std::endl;
  WaitForTermination(signals);
  // Must precede the destruction of the server, which joins the threads that
  // wait for this.
  stop.request_stop();
}

int Run(const Options& options) {
  const sigset_t signals = BlockTerminationSignals();
  std::stop_source stop;
  if (options.kind() == "forwarder") {
    RunForwarder(options, stop.get_token(), signals);
  } else {
    RunStandIn(options, stop, signals);
  }
  return 0;
}

}  // namespace

}  // namespace carawayvalve::fakes

int main(int argc, char** argv) {
  try {
    return carawayvalve::fakes::Run(carawayvalve::fakes::Options(argc, argv));
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return 1;
  }
}
