// Case 9: a gateway that starts again after a drill of the store accepts a key
// that was withdrawn, though another gateway knows the withdrawal.
//
// Two gateways. A configuration takes a key away; 5.5 s after its
// acknowledgement one gateway is killed and starts again. Just before, the store
// has come back from a copy that is 6 s old and holds the earlier
// configuration; the operator writes the newer one again 2 s later. A client
// goes on with the withdrawn key. TROUBLE=0: the store doesn't come back older.
//
// usage: withdrawn_key FOLDER RECORD
#include "platform.hpp"

namespace {

using namespace review;

constexpr double kRevokeTime = 5;
constexpr double kCopyBefore = 0.5;
constexpr double kUntilDrill = 5.5;
constexpr double kDownTime = 0.2;
constexpr double kWritesAgainAfter = 2;
constexpr double kClientTime = 3;

std::string Configuration(int version, const std::string& keys) {
  return "{\"version\":" + std::to_string(version) +
         ",\"routes\":[{\"name\":\"book\",\"host\":\"desk.example\","
         "\"prefix\":\"/book/\",\"service\":\"ticket-desk\",\"kind\":"
         "\"mutating\",\"timeoutMs\":2000,\"sloMs\":300,\"maxAttempts\":1,"
         "\"priority\":2}],\"services\":[{\"name\":\"ticket-desk\","
         "\"healthPath\":\"/health\",\"maxConns\":100}],\"limits\":{"
         "\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{"
         "\"name\":\"guild\",\"apiKeys\":[" +
         keys + "]}]}";
}

// Returns the status, 0 without an answer.
int Book(uint16_t port, const std::string& id, const std::string& key) {
  const auto connection = Connect(port);
  Message answer;
  if (connection == nullptr ||
      !connection->Send("POST /book/" + id +
                        " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " +
                        id + "\r\nX-Deadline-Ms: 4000\r\nX-Credential: " + key +
                        "\r\nContent-Length: 4\r\n\r\nbook") ||
      !connection->ReadHead(answer)) {
    return 0;
  }
  return std::atoi(answer.second.c_str());
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  Record record(argv[2]);
  std::mutex mutex;
  std::map<std::string, double> runs;
  Server worker([&](const std::shared_ptr<Connection>& connection) {
    Message request;
    while (connection->ReadRequest(request)) {
      const std::string id = request.Field("X-Request-Id");
      {
        const std::lock_guard<std::mutex> lock(mutex);
        runs[id] = Seconds();
      }
      record.Line("the worker runs " + id);
      connection->Send(Answer(200,
                              "X-Request-Id: " + id +
                                  "\r\nX-Response-Sig: sig-" + id + "\r\n",
                              "booked"));
      request = {};
    }
  });
  Server cloud(ServeCloud);
  Store store;
  store.Put("config", "main", Configuration(3, "\"key-1\",\"key-2\""));
  store.Put("servers", "i-desk-1",
            WorkerEntry("ticket-desk", worker.address(), 6));
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (const char* name : {"edge-scot-central-a-1", "edge-scot-central-a-2"}) {
    gateways.push_back(std::make_unique<Gateway>(argv[1], name, store.address(),
                                                 cloud.address()));
    gateways.back()->Start();
  }
  for (const auto& gateway : gateways) {
    if (!gateway->AwaitReady(10)) {
      record.Line("a gateway doesn't become ready");
      return 2;
    }
  }
  Sleep(8);
  store.Backup();
  record.Line("the store is copied");
  Sleep(kCopyBefore);
  store.Put("config", "main", Configuration(4, "\"key-1\""));
  const double acknowledged = Seconds();
  record.Line("version 4, without key-2, is acknowledged");
  Sleep(kUntilDrill);
  // Before the fault, the key is in use nowhere.
  for (const auto& gateway : gateways) {
    if (Book(gateway->port(), "before", "key-2") != 401) {
      record.Line("key-2 isn't refused before the fault");
      return 2;
    }
  }
  if (Trouble()) {
    store.ReturnToBackup();
    record.Line("the store comes back from the copy");
  }
  gateways[0]->End(SIGKILL);
  Sleep(kDownTime);
  gateways[0]->Start();
  const double started = Seconds();
  record.Line("edge-scot-central-a-1 starts again");
  std::thread operations([&] {
    Sleep(kWritesAgainAfter);
    store.Put("config", "main", Configuration(4, "\"key-1\""));
    record.Line("the operator has written version 4 again");
  });
  int late = 0;
  std::map<int, int> statuses;
  for (int i = 0; Seconds() < started + kClientTime; ++i) {
    const std::string id = "late-" + std::to_string(i);
    const double sent = Seconds() - acknowledged;
    const int status = Book(gateways[0]->port(), id, "key-2");
    ++statuses[status];
    const std::lock_guard<std::mutex> lock(mutex);
    if (runs.count(id) > 0 && sent > kRevokeTime) {
      ++late;
      record.Line(id + " was sent with key-2 " + std::to_string(sent) +
                  " s after the acknowledgement and ran");
    }
    Sleep(0.005);
  }
  operations.join();
  for (const auto& [status, count] : statuses) {
    record.Line("status " + std::to_string(status) + ": " +
                std::to_string(count));
  }
  const bool serves = Book(gateways[0]->port(), "sound", "key-1") == 200;
  record.Line(std::to_string(late) + " requests ran with the withdrawn key");
  for (const auto& gateway : gateways) {
    gateway->End(SIGKILL);
  }
  if (late > 0) {
    return 1;
  }
  return serves ? 0 : 2;
}
