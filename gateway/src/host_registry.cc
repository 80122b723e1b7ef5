#include "host_registry.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "carawayvalve/core/entry_name.h"

namespace carawayvalve::gateway {

namespace {

// The kind of the objects in which gateways register their addresses.
constexpr char kHostKind[] = "carawayvalve-hosts";
// Peers are listed again at this interval, to find those that started while
// this gateway couldn't reach the store. New gateways rely on being listed
// within this time.
const base::Duration kListInterval =
    core::RetryBudgetMembers::Settings().list_interval;
constexpr base::Milliseconds kRetryInterval(700);
// A gateway lists its peers once it has registered, or after this time if the
// store doesn't answer that.
constexpr base::Milliseconds kFirstListDelay(300);

}  // namespace

HostRegistry::HostRegistry(Context& context,
                           platform::ObjectClient& objects,
                           OnHost on_host)
    : context(context),
      objects(objects),
      on_host(std::move(on_host)),
      list_timer(context.loop),
      register_timer(context.loop) {}

void HostRegistry::Start() {
  this->Register();
  this->list_timer.Start(kFirstListDelay, [this] { this->List(""); });
}

void HostRegistry::Register() {
  const GatewayState& state = this->context.state;
  const base::Address& address = state.settings.listen.peers;
  const nlohmann::json value = {
      {"address", address.host + ":" + std::to_string(address.port)},
      {"boot", state.boot.value}};
  const auto retry = [this] {
    this->register_timer.Start(kRetryInterval, [this] { this->Register(); });
  };
  const auto replace = [this, value, retry] {
    this->register_call = this->objects.Replace(
        kHostKind, this->context.state.settings.host.value, std::nullopt, value,
        [this, retry](const platform::WriteResult& result) {
          if (std::holds_alternative<platform::StoredObject>(result)) {
            this->OnRegistered(!this->may_have_created);
          } else {
            retry();
          }
        });
  };
  this->register_call = this->objects.Create(
      kHostKind, state.settings.host.value, value,
      [this, replace, retry](const platform::WriteResult& result) {
        if (std::holds_alternative<platform::StoredObject>(result)) {
          this->OnRegistered(false);
        } else if (std::holds_alternative<platform::WriteConflict>(result)) {
          replace();
        } else {
          const auto* failure = std::get_if<platform::StoreCallFailed>(&result);
          this->may_have_created |= failure != nullptr && !failure->not_sent;
          retry();
        }
      });
}

void HostRegistry::OnRegistered(bool existed_before) {
  this->context.state.retry_members.NoteRegistered(existed_before, base::Now());
  // A list from before the registration may lack gateways that couldn't list
  // this one either.
  this->List("");
}

void HostRegistry::List(const std::string& after) {
  this->list_timer.Cancel();
  if (after.empty()) {
    this->listed.clear();
  }
  const bool may_be_stale = this->context.state.retry_members.HasListed();
  this->list_call = this->objects.List(
      kHostKind, after, may_be_stale,
      [this](const platform::ListResult& result) { this->OnListed(result); });
}

void HostRegistry::OnListed(const platform::ListResult& result) {
  const auto* page = std::get_if<platform::ObjectPage>(&result);
  if (page == nullptr) {
    this->list_timer.Start(kRetryInterval, [this] { this->List(""); });
    return;
  }
  for (const platform::StoredObject& object : page->objects) {
    if (core::IsEntryName(object.name)) {
      this->listed.insert({object.name});
      this->ApplyEntry(object);
    } else {
      this->context.NoteOddEntry("peer_unreadable", kHostKind, object.name,
                                 "no gateway has such a name");
    }
  }
  if (page->after.has_value()) {
    this->List(*page->after);
    return;
  }
  this->list_timer.Start(kListInterval, [this] { this->List(""); });
  this->context.state.retry_members.NoteListed(this->listed);
}

void HostRegistry::ApplyEntry(const platform::StoredObject& object) {
  if (object.name == this->context.state.settings.host.value ||
      !object.value->is_object() || !object.value->contains("address")) {
    return;
  }
  try {
    const base::Address address =
        base::ParseAddress((*object.value)["address"].get<std::string>());
    // Throws for a host name; datagrams go to IP addresses only.
    base::ToSocketAddress(address);
    this->context.NoteReadable(kHostKind, object.name);
    this->on_host({object.name}, address);
  } catch (const std::exception& error) {
    this->context.NoteOddEntry("peer_unreadable", kHostKind, object.name,
                               error.what());
  }
}

}  // namespace carawayvalve::gateway
