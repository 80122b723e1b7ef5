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

// Passes TCP connections on to one address, and can play a partition.
class Forwarder {
 public:
  // `target` is IP:PORT. Throws base::Error when the port is taken.
  Forwarder(uint16_t port, const std::string& target);
  ~Forwarder();

  Forwarder(const Forwarder&) = delete;
  Forwarder& operator=(const Forwarder&) = delete;

  uint16_t port() const { return this->reserved.port(); }

  // Answers POST /cut, POST /stall and POST /stall_new once they are in effect.
  // The last holds up only the connections that come after it.
  Reply Control(const Request& request);

 private:
  struct Link;

  void SetCut(bool wanted);
  void SetStalled(bool wanted);
  void SetNewStalled(bool wanted);
  void AcceptLoop();
  // Listens or refuses as wanted. Returns false when it is time to end.
  bool ApplyCut();
  void Listen();
  void AddLink(Socket caller);
  void CloseLinks();
  void DropDoneLinks();
  void RunLink(Link& link);
  // Returns false when the link was closed or the target doesn't answer.
  bool ConnectTarget(Link& link);
  // Passes bytes one way until either end closes.
  void Relay(const Link& link, const Socket& from, const Socket& to);
  void WaitWhileStalled(const Link& link);

  const sockaddr_in target;
  // Bound but never listening, so that nobody else gets the port meanwhile.
  const Socket reserved;
  // This and the list of links belong to the accepting thread.
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
