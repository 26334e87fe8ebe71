// Case: the store turns away a third of the entry VMs and serves the others,
// which don't read it. The rule checked is CONFIG.
#include "harness.cc"

using namespace review;

namespace {

// Bounds of papadakis-neon-large, with 10 machines in attica-a.
constexpr double StableWindow = 5;
constexpr double ConfigPropagation = 4;
constexpr double Drain = 4;
constexpr double CutLength = 9; // for_s of its 'nodes' disruption
constexpr const char *Bounds =
    "\"stopGraceMs\":\"10s\",\"serverDrainMs\":\"4000ms\","
    "\"repeatSlack\":430,";
constexpr size_t VmsTurnedAway = 4;       // of 12: a share of 0.33

struct Sent {
  double At_;
  std::string Vm_;
};

} // namespace

int main(int, char **Arguments) {
  Log = std::make_unique<Record>(Arguments[1]);
  Store Platform;
  std::vector<std::unique_ptr<Server>> Servers;
  for (int I = 0; I < 4; ++I)
    for (const char *Service : {"before", "after"})
      Servers.push_back(std::make_unique<Server>(
          std::string("i-") + Service + "-" + std::to_string(I), Service,
          I % 2 ? "crete-a" : "attica-a", 0.005));
  for (auto &Each : Servers)
    Platform.put("servers", Each->id(), Each->entry());
  auto MakeConfig = [](int Version, const char *Service) {
    return makeConfig(
        Version, makeRoute("lookup", "/lookup/", Service, true, 1000, 400),
        {"before", "after"});
  };
  Platform.put("config", "main", MakeConfig(1, "before"));
  std::vector<std::unique_ptr<Vm>> Vms;
  for (int I = 0; I < 12; ++I) {
    std::string Name = "front-" + std::string(I < 10 ? "attica" : "crete") +
                       "-a-" + std::to_string(I < 10 ? I + 1 : I - 9);
    Vms.push_back(std::make_unique<Vm>(Name, I < 10 ? "attica-a" : "crete-a",
                                       Platform.openFor(Name), Bounds));
    Vms.back()->start();
  }
  for (auto &Each : Vms)
    if (!Each->waitReady(15))
      cannotRun("an entry VM is not ready");
  sleepFor(5);

  // Finds the machines of attica-a that read the store for their zone: the
  // store turns one after the other away and serves them all again.
  std::set<std::string> Readers;
  while (Readers.size() < VmsTurnedAway) {
    Platform.takeReaders();
    double End = now() + 10;
    std::string Found;
    while (Found.empty() && now() < End) {
      sleepFor(0.1);
      for (const std::string &Each : Platform.takeReaders())
        if (Each.starts_with("front-attica") && !Readers.count(Each))
          Found = Each;
    }
    if (Found.empty())
      cannotRun("no machine of attica-a reads the store");
    Log->line("reader %zu of attica-a: %s", Readers.size() + 1, Found.c_str());
    Readers.insert(Found);
    if (Readers.size() < VmsTurnedAway)
      Platform.turnAway(Readers);
  }
  Platform.turnAway({});
  Log->line("the store serves all machines");
  sleepFor(StableWindow + 4);

  std::mutex SentMutex;
  std::map<std::string, Sent> AllSent;
  std::atomic<bool> IsOver{false};
  std::vector<std::thread> Clients;
  for (auto &Each : Vms)
    Clients.emplace_back([&, To = Each.get()] {
      for (int I = 0; !IsOver; ++I) {
        std::string Id = To->name() + "." + std::to_string(I);
        {
          std::lock_guard<std::mutex> Lock(SentMutex);
          AllSent[Id] = {now(), To->name()};
        }
        Log->line("client sends id=%s", Id.c_str());
        Reply Answer = call(*To, makeRequest("GET", "/lookup/a", Id), 2);
        Log->line("client gets id=%s status=%d", Id.c_str(), Answer.Status_);
        sleepFor(0.1);
      }
    });
  // Twice, as at most six machines draw by chance whether they read the store.
  struct Round {
    double Acknowledged_, End_;
    const char *OldService_;
  };
  std::vector<Round> Rounds;
  double DrainAcknowledged = 0;
  for (int I = 0; I < 2; ++I) {
    sleepFor(1);
    double CutAt = now();
    if (hasTrouble()) {
      Platform.turnAway(Readers);
      Log->line("the store turns the four machines away (429)");
    }
    sleepFor(0.5);
    const char *Service = I == 0 ? "after" : "before";
    double Acknowledged =
        Platform.put("config", "main", MakeConfig(2 + I, Service));
    Log->line("the store acknowledged version %d: the route goes to '%s'",
              2 + I, Service);
    if (I == 0) {
      // A server of the old service leaves as well.
      DrainAcknowledged = Platform.put("servers", Servers[0]->id(),
                                       Servers[0]->entry("draining"));
      Log->line("the store acknowledged that %s is draining",
                Servers[0]->id().c_str());
    }
    sleepFor(CutAt + CutLength - now());
    Platform.turnAway({});
    Log->line("the store serves all machines");
    Rounds.push_back({Acknowledged, now(), I == 0 ? "i-before" : "i-after"});
    sleepFor(StableWindow + 4);
  }
  IsOver = true;
  for (std::thread &Each : Clients)
    Each.join();

  // Machines that the store serves all the while are in touch. Their requests
  // sent later than configPropagation after the acknowledgement of a version go
  // to the service that it names.
  std::map<std::string, int> Late;
  std::map<std::string, double> Last;
  int LateDrain = 0;
  for (auto &Each : Servers)
    for (const Run &Ran : Each->runs()) {
      const Sent &From = AllSent[Ran.Id_];
      if (Readers.count(From.Vm_))
        continue;
      for (const Round &Cut : Rounds)
        if (Each->id().starts_with(Cut.OldService_) &&
            From.At_ > Cut.Acknowledged_ + ConfigPropagation &&
            From.At_ < Cut.End_) {
          ++Late[From.Vm_];
          Last[From.Vm_] =
              std::max(Last[From.Vm_], From.At_ - Cut.Acknowledged_);
        }
      if (Each == Servers[0] && Ran.At_ > DrainAcknowledged + Drain)
        ++LateDrain;
    }
  for (const auto &[Name, Count] : Late)
    Log->line("machine in touch %s: %d requests sent later than %.1f s after "
              "the acknowledgement were run by the old service, the last sent "
              "%.1f s after it",
              Name.c_str(), Count, ConfigPropagation, Last[Name]);
  Log->line("requests that reached the draining server later than %.1f s after "
            "the acknowledgement: %d",
            Drain, LateDrain);
  finish(!Late.empty());
}
