#include "forwarder.h"

#include <array>
#include <utility>

#include "carawayvalve/base/time.h"

namespace carawayvalve::fakes {

namespace {

constexpr size_t kBlockBytes = 64 * 1024;
constexpr base::Milliseconds kCutPollInterval(20);

}  // namespace

// A caller's connection and its connection to the target.
struct Forwarder::Link {
  Socket caller;
  // Set before the threads that copy bytes start.
  std::optional<Socket> target;
  // The flags below are guarded by the forwarder's mutex.
  bool accepted_while_new_stalled = false;
  bool closed = false;
  bool done = false;
  std::thread thread;
};

Forwarder::Forwarder(uint16_t port, const std::string& target)
    : target(ParseAddress(target)), reserved(Socket::Bind(port)) {
  this->Listen();
  this->acceptor = std::thread([this] { this->AcceptLoop(); });
}

Forwarder::~Forwarder() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    this->changed.notify_all();
  }
  this->acceptor.join();
}

Reply Forwarder::Control(const Request& request) {
  if (request.Is("POST", "cut", 1)) {
    this->SetCut(request.Json().at("cut"));
  } else if (request.Is("POST", "stall", 1)) {
    this->SetStalled(request.Json().at("stall"));
  } else if (request.Is("POST", "stall_new", 1)) {
    this->SetNewStalled(request.Json().at("stall_new"));
  } else {
    return NotFound();
  }
  return JsonReply(200, nlohmann::json::object());
}

void Forwarder::SetCut(bool wanted) {
  std::unique_lock lock(this->mutex);
  this->cut_wanted = wanted;
  this->changed.notify_all();
  this->changed.wait(lock, [&] {
    return this->cut_applied == this->cut_wanted || this->stopping;
  });
}

void Forwarder::SetStalled(bool wanted) {
  const std::lock_guard lock(this->mutex);
  this->stalled = wanted;
  this->changed.notify_all();
}

void Forwarder::SetNewStalled(bool wanted) {
  const std::lock_guard lock(this->mutex);
  this->new_stalled = wanted;
  this->changed.notify_all();
}

void Forwarder::AcceptLoop() {
  while (this->ApplyCut()) {
    if (this->listener.has_value()) {
      std::optional<Socket> caller = this->listener->Accept();
      if (caller.has_value()) {
        this->AddLink(std::move(*caller));
      }
    }
    this->DropDoneLinks();
  }
  this->listener.reset();
  this->CloseLinks();
  for (const std::unique_ptr<Link>& link : this->links) {
    link->thread.join();
  }
}

bool Forwarder::ApplyCut() {
  std::unique_lock lock(this->mutex);
  if (this->cut_applied && this->cut_wanted) {
    this->changed.wait_for(lock, kCutPollInterval);
  }
  if (this->cut_applied == this->cut_wanted) {
    return !this->stopping;
  }
  lock.unlock();
  if (this->listener.has_value()) {
    this->listener.reset();
    this->CloseLinks();
  } else {
    this->Listen();
  }
  lock.lock();
  this->cut_applied = !this->listener.has_value();
  this->changed.notify_all();
  return !this->stopping;
}

void Forwarder::Listen() {
  this->listener = Socket::Bind(this->reserved.port());
  this->listener->Listen();
}

void Forwarder::AddLink(Socket caller) {
  this->links.push_back(std::make_unique<Link>());
  Link& link = *this->links.back();
  link.caller = std::move(caller);
  {
    const std::lock_guard lock(this->mutex);
    link.accepted_while_new_stalled = this->new_stalled;
  }
  link.thread = std::thread([this, &link] { this->RunLink(link); });
}

void Forwarder::CloseLinks() {
  const std::lock_guard lock(this->mutex);
  for (const std::unique_ptr<Link>& link : this->links) {
    link->closed = true;
    link->caller.Shutdown();
    if (link->target.has_value()) {
      link->target->Shutdown();
    }
  }
  this->changed.notify_all();
}

void Forwarder::DropDoneLinks() {
  std::list<std::unique_ptr<Link>> done;
  {
    const std::lock_guard lock(this->mutex);
    for (auto link = this->links.begin(); link != this->links.end();) {
      const auto next = std::next(link);
      if ((*link)->done) {
        done.splice(done.end(), this->links, link);
      }
      link = next;
    }
  }
  for (const std::unique_ptr<Link>& link : done) {
    link->thread.join();
  }
}

void Forwarder::RunLink(Link& link) {
  if (this->ConnectTarget(link)) {
    std::thread response_thread(
        [&] { this->Relay(link, *link.target, link.caller); });
    this->Relay(link, link.caller, *link.target);
    response_thread.join();
  }
  link.caller.Shutdown();
  const std::lock_guard lock(this->mutex);
  link.done = true;
}

bool Forwarder::ConnectTarget(Link& link) {
  std::optional<Socket> connected = Socket::Connect(this->target);
  const std::lock_guard lock(this->mutex);
  link.target = std::move(connected);
  return link.target.has_value() && !link.closed;
}

void Forwarder::Relay(const Link& link, const Socket& from, const Socket& to) {
  std::array<char, kBlockBytes> block;
  while (const size_t count = from.Receive(block.data(), block.size())) {
    this->WaitWhileStalled(link);
    if (!to.SendAll(block.data(), count)) {
      from.Shutdown();
      break;
    }
  }
  this->WaitWhileStalled(link);
  to.ShutdownSending();
}

void Forwarder::WaitWhileStalled(const Link& link) {
  std::unique_lock lock(this->mutex);
  this->changed.wait(lock, [&] {
    const bool held =
        this->stalled || (this->new_stalled && link.accepted_while_new_stalled);
    return !held || link.closed;
  });
}

}  // namespace carawayvalve::fakes
