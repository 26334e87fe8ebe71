// Case: another writer leaves one entry among those of the servers that can't
// be read. The rule checked is DRAIN.
#include "harness.cc"

using namespace review;

namespace {

/// Bytes that other writers leave in one entry.
const char *getOddBytes() {
  static const char *const Bytes[] = {
      // A backslash that the writer did not escape.
      R"({"service":"tracker","zone":"attica-a","note":"C:\data"})",
      // How some writers print a number that is none.
      R"({"service":"tracker","zone":"attica-a","slots":NaN})",
      // Another kind of quotes.
      R"({'service':'tracker'})",
      // No text at all.
      "\x01\x02\xfe\xff",
  };
  const char *Index = getenv("ODD");
  return Bytes[Index ? atoi(Index) % 4 : 0];
}

constexpr double StableWindow = 4; // stableWindow of papadakis-neon
constexpr double Drain = 2.5;      // drain of papadakis-neon
constexpr double Heartbeat = 1.5;  // platform.heartbeat of the settings

} // namespace

int main(int, char **Arguments) {
  Log = std::make_unique<Record>(Arguments[1]);
  Store Platform;
  std::vector<std::unique_ptr<Server>> Servers;
  for (int I = 0; I < 4; ++I)
    Servers.push_back(std::make_unique<Server>(
        "i-" + std::to_string(I), "tracker", I % 2 ? "attica-b" : "attica-a",
        0.05, 2));
  for (auto &Each : Servers)
    Platform.put("servers", Each->id(), Each->entry());
  Platform.put("config", "main",
               makeConfig(1, makeRoute("lookup", "/lookup/", "tracker", true,
                                       1000, 400),
                          {"tracker"}));
  Vm First("vm-0", "attica-a", Platform.addr());
  Vm Second("vm-1", "attica-b", Platform.addr());
  Vm *Vms[] = {&First, &Second};
  for (Vm *Each : Vms)
    Each->start();
  for (Vm *Each : Vms)
    if (!Each->waitReady(10))
      cannotRun("an entry VM is not ready");

  // Servers renew their entries; one drains later and keeps serving.
  std::atomic<int> Leaving{-1};
  std::mutex WriteMutex;
  std::thread([&] {
    while (true) {
      sleepFor(Heartbeat);
      std::lock_guard<std::mutex> Lock(WriteMutex);
      for (size_t I = 0; I < Servers.size(); ++I)
        Platform.put("servers", Servers[I]->id(),
                     Servers[I]->entry(static_cast<int>(I) == Leaving
                                           ? "draining"
                                           : "ready"));
    }
  }).detach();

  // Three clients for each entry VM use six of the eight slots.
  std::mutex SentMutex;
  std::map<std::string, double> SentAt;
  std::atomic<int> Served{0}, Failed{0};
  std::atomic<bool> IsOver{false};
  std::vector<std::thread> Clients;
  for (int Client = 0; Client < 6; ++Client)
    Clients.emplace_back([&, Client, To = Vms[Client % 2]] {
      for (int I = 0; !IsOver; ++I) {
        std::string Id = To->name() + "." + std::to_string(Client) + "." +
                         std::to_string(I);
        {
          std::lock_guard<std::mutex> Lock(SentMutex);
          SentAt[Id] = now();
        }
        Log->line("client sends id=%s to %s", Id.c_str(), To->name().c_str());
        Reply Answer = call(*To, makeRequest("GET", "/lookup/a", Id), 2);
        Log->line("client gets id=%s status=%d seal=%s", Id.c_str(),
                  Answer.Status_, Answer.Seal_.c_str());
        ++(Answer.Status_ == 200 ? Served : Failed);
        sleepFor(0.01);
      }
    });

  sleepFor(2);
  if (hasTrouble()) {
    Platform.put("servers", "inventory-note", getOddBytes());
    Log->line("another writer left the entry 'inventory-note'");
  }
  sleepFor(StableWindow + 1);
  // The server that got the most requests so far leaves.
  size_t Most = 0;
  for (size_t I = 1; I < Servers.size(); ++I)
    if (Servers[I]->runs().size() > Servers[Most]->runs().size())
      Most = I;
  Server &Busiest = *Servers[Most];
  double Acknowledged = 0;
  {
    std::lock_guard<std::mutex> Lock(WriteMutex);
    Leaving = static_cast<int>(Most);
    Acknowledged =
        Platform.put("servers", Busiest.id(), Busiest.entry("draining"));
  }
  Log->line("the store acknowledged that %s is draining", Busiest.id().c_str());
  sleepFor(8);
  IsOver = true;
  for (std::thread &Each : Clients)
    Each.join();

  // A request reaches the server later than drain after the acknowledgement.
  int Late = 0;
  double Last = 0;
  for (const Run &Each : Busiest.runs())
    if (Each.At_ > Acknowledged + Drain) {
      ++Late;
      Last = Each.At_ - Acknowledged;
    }
  Log->line("served %d, failed %d; requests that reached the draining server "
            "later than %.1f s after the acknowledgement: %d, the last %.1f s "
            "after it",
            Served.load(), Failed.load(), Drain, Late, Last);

  // Seen besides: an entry VM that starts now, with a sound store.
  First.end();
  First.start();
  bool IsReady = First.waitReady(12);
  Log->line("restarted vm-0 is %s 12 s after its start",
            IsReady ? "ready" : "NOT READY");
  finish(Late > 0);
}
