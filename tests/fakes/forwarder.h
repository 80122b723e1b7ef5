#ifndef CARAWAYVALVE_TESTS_FAKES_FORWARDER_H_
#define CARAWAYVALVE_TESTS_FAKES_FORWARDER_H_

#include <condition_variable>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "http_server.h"
#include "socket.h"

namespace carawayvalve::fakes {

// Forwards TCP connections to one address and can simulate a network partition.
class Forwarder {
 public:
  // `target` is IP:PORT. Throws base::Error when the port is taken.
  Forwarder(uint16_t port, const std::string& target);
  ~Forwarder();

  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

  uint16_t port() const { return this->reserved.port(); }

  // Answers POST /cut, POST /stall and POST /stall_new once they are in effect.
  // /stall_new stalls only connections that are accepted after it.
  Reply Control(const Request& request);

 private:
  struct Link;

  void SetCut(bool wanted);
  void SetStalled(bool wanted);
  void SetNewStalled(bool wanted);
  void AcceptLoop();
  // Starts or stops listening as requested. Returns false when the forwarder is
  // stopping.
  bool ApplyCut();
  void Listen();
  void AddLink(Socket caller);
  void CloseLinks();
  void DropDoneLinks();
  void RunLink(Link& link);
  // Returns false when the link is closed or the target does not accept.
  bool ConnectTarget(Link& link);
  // Copies bytes in one direction until either end closes.
  void Relay(const Link& link, const Socket& from, const Socket& to);
  void WaitWhileStalled(const Link& link);

  const sockaddr_in target;
  // Bound but never listening: reserves the port while the listener is closed.
  const Socket reserved;
  // `listener` and `links` are used only by the accepting thread.
  std::optional<Socket> listener;
  std::list<std::unique_ptr<Link>> links;
  std::mutex mutex;
  std::condition_variable changed;
  bool cut_wanted = false;
  bool cut_applied = false;
  bool stalled = false;
  bool new_stalled = false;
  bool stopping = false;
  std::thread acceptor;
};

}  // namespace carawayvalve::fakes

#endif  // CARAWAYVALVE_TESTS_FAKES_FORWARDER_H_
