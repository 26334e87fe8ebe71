/// \file division_bench.cpp Division of requests among unequal regions.
///
/// One region has a tenth of the slots and a third of the demand. Plays the
/// balancers of six entry VMs, with and without the division, in virtual time.
///
/// The exact optimum knows the demand and every slot: as the slots suffice for
/// the demand at any time, and a run fits into the objective from any region,
/// each request earns its credit, and a region sends away what exceeds its
/// slots. Bounds of each row with the division: credit of the worst region at
/// least 0.95 of the optimum's in the first two seconds and over all, and no
/// shift above the limit between windows of two seconds.
#include "core/duration_func.h"
#include "core/overload_type.h"
#include "process/region_demand_base.h"
#include "request/service_balancer_base.h"
#include "test/support/server_model_base.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <memory>
#include <numbers>
#include <set>

using namespace cranberry;
using namespace cranberry::test;

namespace {

constexpr uint64_t Seed = 20261206;
constexpr size_t Regions = 3;
constexpr size_t VmsPerRegion = 2;
constexpr std::array<size_t, Regions> ServerCounts{45, 10, 45};
constexpr unsigned Slots = 5;
constexpr double TotalSlots = Slots * (45 + 10 + 45);
constexpr Duration Work = milliseconds(400);
constexpr Duration Objective = milliseconds(1000);
constexpr Duration Deadline = seconds(4);
constexpr Duration Length = seconds(40);
constexpr Duration OneWay = milliseconds(55);
constexpr Duration WavePeriod = seconds(36);
constexpr double LateCredit = 0.2;
constexpr double MaxShift = 0.15;
/// Shares of what the bound allows that the entry VMs use.
constexpr double LimiterShare = 0.85;
constexpr double DivisionShare = 0.25;
constexpr double MinOfOptimum = 0.95;
constexpr Duration ShiftWindow = seconds(2);

enum class Policy : uint8_t { Undivided, Divided };
constexpr const char *PolicyNames[] = {"undivided", "divided"};

std::string getRegionName(size_t Region) { return absl::StrCat("r", Region); }

/// One request of a client.
struct Flow {
  size_t Region_;          ///< Region of the client.
  size_t Vm_;              ///< Its entry VM.
  WaitingRequest Request_; ///< Request in the balancer's terms.
  Time Sent_;              ///< Start of the attempt.
};

/// Results of one play.
struct Report {
  struct Window {
    double Owed_ = 0;   ///< Requests that arrived.
    double Credit_ = 0; ///< Their credit.
  };
  std::array<Window, Regions> First_; ///< Of the first two seconds.
  std::array<Window, Regions> All_;   ///< Of the whole play.
  double Moved_ = 0;                  ///< Requests run in another region.
  double OptimalMoves_ = 0;           ///< The same of the optimum.
  double MaxShift_ = 0;               ///< Largest shift of a region.

  static double getWorst(const std::array<Window, Regions> &Windows) {
    double Result = 1;
    for (const Window &Each : Windows)
      Result = std::min(Result, Each.Credit_ / std::max(1.0, Each.Owed_));
    return Result;
  }
};

/// One play of a policy.
class Play {
public:
  Play(Policy Kind, double Use, double Swing);
  Report run();

private:
  struct Server {
    size_t Region_;
    std::unique_ptr<ServerModel> Model_;
  };
  struct Start {
    Time At_;
    size_t From_;
    size_t To_;
  };

  void makeBalancers();
  void teachServiceTime(ServiceBalancer &Balancer);
  void addArrival(size_t Region);
  void handleArrival(size_t Region);
  void exchangeDemand();
  void step(size_t Vm);
  void start(uint64_t Id, size_t ServerIndex);
  void end(uint64_t Id, size_t ServerIndex, const ServerModel::Response &Got);
  void finish(uint64_t Id, double Credit);
  double getMaxShift() const;
  double getOptimalMoves() const;
  double getDemand(size_t Region, Time Now) const;

  Policy Kind_;
  double Use_;
  double Swing_;
  VirtualTime Clock_;
  Time Begin_ = Clock_.now();
  std::mt19937_64 Random_{Seed};
  std::vector<Server> Servers_;
  std::vector<std::unique_ptr<RegionShiftLimiter>> Limiters_;
  std::vector<std::unique_ptr<ServiceBalancer>> Balancers_;
  RegionDemand Demand_;
  std::map<uint64_t, Flow> Flows_;
  std::vector<Start> Starts_;
  Report Report_;
  uint64_t NextFlow_ = 1;
};

Play::Play(Policy Kind, double Use, double Swing)
    : Kind_(Kind), Use_(Use), Swing_(Swing) {
  ServerModelPlan Plan;
  Plan.Slots_ = Slots;
  Plan.Work_ = Work;
  Plan.TailShare_ = Plan.NoiseShare_ = Plan.WarmSaving_ = 0;
  for (size_t Region = 0; Region < Regions; ++Region)
    for (size_t I = 0; I < ServerCounts[Region]; ++I)
      Servers_.push_back(
          {Region, std::make_unique<ServerModel>(Plan, Clock_, Random_())});
  makeBalancers();
}

void Play::makeBalancers() {
  RegionDivider::DemandByRegion Assumed;
  for (size_t Region = 0; Region < Regions; ++Region)
    Assumed[getRegionName(Region)] = 1;
  for (size_t Vm = 0; Vm < Regions * VmsPerRegion; ++Vm) {
    size_t Own = Vm / VmsPerRegion;
    Limiters_.push_back(
        std::make_unique<RegionShiftLimiter>(LimiterShare * MaxShift));
    Balancers_.push_back(std::make_unique<ServiceBalancer>(*Limiters_.back()));
    if (Kind_ == Policy::Divided)
      Balancers_.back()->getDivider().setRegions(
          getRegionName(Own), Assumed, DivisionShare * LimiterShare * MaxShift);
    std::vector<BackendServerConfig> Known;
    for (size_t I = 0; I < Servers_.size(); ++I) {
      BackendServerConfig Each;
      Each.Id_ = std::to_string(I);
      Each.Region_ = getRegionName(Servers_[I].Region_);
      Each.Zone_ = Each.Region_ + "-a";
      bool IsNear = Servers_[I].Region_ == Own;
      Each.Proximity_ = IsNear ? Proximity::SameZone : Proximity::OtherRegion;
      Each.RoundTrip_ = IsNear ? milliseconds(1) : 2 * OneWay;
      Each.Slots_ = Slots;
      Known.push_back(Each);
    }
    // The registry lists servers in another order on each VM.
    std::shuffle(Known.begin(), Known.end(), Random_);
    Balancers_.back()->setServers(Known);
    teachServiceTime(*Balancers_.back());
  }
  exchangeDemand();
}

void Play::teachServiceTime(ServiceBalancer &Balancer) {
  // A request without an object shows that caches make no difference.
  Time Before = Begin_ - seconds(60);
  WaitingRequest Request;
  Request.Flow_ = FlowIndex(NextFlow_++);
  Request.Route_ = 1;
  Request.Arrived_ = Before;
  Request.ObjectiveAt_ = Before + Objective;
  Request.Deadline_ = Before + Deadline;
  Balancer.submit(Request);
  for (const BalancerAction &Action : Balancer.step(Before))
    if (const auto *Sent = std::get_if<StartAttempt>(&Action)) {
      EndedAttempt Ended;
      Ended.Flow_ = Sent->Flow_;
      Ended.Route_ = 1;
      Ended.Objective_ = Objective;
      Ended.Server_ = Sent->Server_;
      Ended.Outcome_ = ServerAttemptOutcome::Served;
      Ended.Ran_ = Work;
      Balancer.endAttempt(Ended, Before + Work);
    }
}

void Play::exchangeDemand() {
  Time Now = Clock_.now();
  MemberList Vms;
  for (size_t Vm = 0; Vm < Balancers_.size(); ++Vm) {
    Member Each;
    Each.Region_ = getRegionName(Vm / VmsPerRegion);
    if (std::optional<double> Busy = Balancers_[Vm]->getDemand(Now))
      Each.Demand_.push_back({"service", *Busy});
    Vms.push_back(Each);
  }
  Demand_.update(Vms, seconds(2), Now);
  for (auto &Balancer : Balancers_)
    Balancer->getDivider().setDemand(Demand_.get("service"));
  if (Now < Begin_ + Length)
    Clock_.after(seconds(1), [this] { exchangeDemand(); });
}

Report Play::run() {
  for (size_t Region = 0; Region < Regions; ++Region)
    addArrival(Region);
  while ((Clock_.now() < Begin_ + Length || !Flows_.empty()) && Clock_.step()) {
  }
  Report_.MaxShift_ = getMaxShift();
  Report_.OptimalMoves_ = getOptimalMoves();
  return Report_;
}

double Play::getDemand(size_t Region, Time Now) const {
  auto Passed = static_cast<double>((Now - Begin_).count());
  double Turn = Passed / static_cast<double>(WavePeriod.count()) +
                static_cast<double>(Region) / Regions;
  return Use_ * TotalSlots / Regions *
         (1 + Swing_ * std::sin(2 * std::numbers::pi * Turn));
}

double Play::getOptimalMoves() const {
  constexpr Duration Step = milliseconds(100);
  double Moved = 0;
  for (Time Now = Begin_; Now < Begin_ + Length; Now += Step)
    for (size_t Region = 0; Region < Regions; ++Region)
      Moved +=
          std::max(0.0, getDemand(Region, Now) - Slots * ServerCounts[Region]) *
          std::chrono::duration<double>(Step).count();
  return Moved / std::chrono::duration<double>(Work).count();
}

void Play::addArrival(size_t Region) {
  double Rate = getDemand(Region, Clock_.now()) /
                std::chrono::duration<double>(Work).count();
  std::exponential_distribution<double> Pause(Rate);
  Clock_.after(scaleDuration(seconds(1), Pause(Random_)), [this, Region] {
    if (Clock_.now() >= Begin_ + Length)
      return;
    handleArrival(Region);
    addArrival(Region);
  });
}

void Play::handleArrival(size_t Region) {
  Time Now = Clock_.now();
  uint64_t Id = NextFlow_++;
  Flow Open;
  Open.Region_ = Region;
  Open.Vm_ = Region * VmsPerRegion + Random_() % VmsPerRegion;
  Open.Request_.Flow_ = FlowIndex(Id);
  Open.Request_.Route_ = 1;
  Open.Request_.Key_ = Random_() | 1U; // Spreads requests over the servers.
  Open.Request_.Arrived_ = Now;
  Open.Request_.ObjectiveAt_ = Now + Objective;
  Open.Request_.Deadline_ = Now + Deadline;
  Flows_[Id] = Open;
  Balancers_[Open.Vm_]->submit(Open.Request_);
  step(Open.Vm_);
}

void Play::step(size_t Vm) {
  ServiceBalancer &Balancer = *Balancers_[Vm];
  for (const BalancerAction &Action : Balancer.step(Clock_.now()))
    std::visit(Overload{[this](const StartAttempt &Start) {
                          this->start(Start.Flow_.get(),
                                      std::stoul(Start.Server_));
                        },
                        [this](const RefuseRequest &Refuse) {
                          finish(Refuse.Flow_.get(), 0);
                        },
                        [](const SuspectAttempt &) {}},
               Action);
  if (size_t Waiting = Balancer.getWaiting(); Waiting > 0)
    Clock_.at(Balancer.getNextWake(Clock_.now()), [this, Vm, Waiting] {
      if (Balancers_[Vm]->getWaiting() == Waiting)
        step(Vm);
    });
}

void Play::start(uint64_t Id, size_t ServerIndex) {
  Flow &Open = Flows_.at(Id);
  Open.Sent_ = Clock_.now();
  Open.Request_.ExcludedServers_.push_back(std::to_string(ServerIndex));
  size_t To = Servers_[ServerIndex].Region_;
  Starts_.push_back({Clock_.now(), Open.Region_, To});
  Report_.Moved_ += To == Open.Region_ ? 0 : 1;
  Duration Way = To == Open.Region_ ? Duration(0) : OneWay;
  Clock_.after(Way, [this, Id, ServerIndex, Way] {
    Servers_[ServerIndex].Model_->handleRequest(
        0, [this, Id, ServerIndex, Way](const ServerModel::Response &Got) {
          Clock_.after(
              Way, [this, Id, ServerIndex, Got] { end(Id, ServerIndex, Got); });
        });
  });
}

void Play::end(uint64_t Id, size_t ServerIndex,
               const ServerModel::Response &Got) {
  Time Now = Clock_.now();
  Flow Open = Flows_.at(Id);
  EndedAttempt Ended;
  Ended.Flow_ = FlowIndex(Id);
  Ended.Route_ = 1;
  Ended.Objective_ = Objective;
  Ended.Server_ = std::to_string(ServerIndex);
  Ended.Outcome_ =
      Got.IsRun_ ? ServerAttemptOutcome::Served : ServerAttemptOutcome::Refused;
  Ended.Ran_ = Now - Open.Sent_;
  Ended.Load_ = Got.Load_;
  Balancers_[Open.Vm_]->endAttempt(Ended, Now);
  if (Got.IsRun_)
    finish(Id, Now <= Open.Request_.ObjectiveAt_ ? 1 : LateCredit);
  else if (Now < Open.Request_.Deadline_)
    Balancers_[Open.Vm_]->submit(Open.Request_);
  else
    finish(Id, 0);
  step(Open.Vm_);
}

void Play::finish(uint64_t Id, double Credit) {
  const Flow &Open = Flows_.at(Id);
  auto Add = [Credit](Report::Window &Window) {
    Window.Owed_ += 1;
    Window.Credit_ += Credit;
  };
  Add(Report_.All_[Open.Region_]);
  if (Open.Request_.Arrived_ < Begin_ + seconds(2))
    Add(Report_.First_[Open.Region_]);
  Flows_.erase(Id);
}

double Play::getMaxShift() const {
  constexpr Duration StepLength = milliseconds(200);
  double Result = 0;
  for (Time Middle = Begin_ + ShiftWindow;
       Middle + ShiftWindow <= Begin_ + Length; Middle += StepLength) {
    std::array<std::array<std::array<double, Regions>, Regions>, 2> Counts{};
    auto First = std::lower_bound(
        Starts_.begin(), Starts_.end(), Middle - ShiftWindow,
        [](const Start &Each, Time At) { return Each.At_ < At; });
    for (; First != Starts_.end() && First->At_ < Middle + ShiftWindow; ++First)
      Counts[First->At_ < Middle ? 0 : 1][First->From_][First->To_] += 1;
    for (size_t From = 0; From < Regions; ++From) {
      std::array<double, 2> Sums{};
      for (size_t Side : {0, 1})
        for (double Count : Counts[Side][From])
          Sums[Side] += Count;
      double Moved = 0;
      for (size_t To = 0; To < Regions; ++To)
        Moved +=
            std::max(0.0, Counts[1][From][To] / std::max(1.0, Sums[1]) -
                              Counts[0][From][To] / std::max(1.0, Sums[0]));
      Result = std::max(Result, Moved);
    }
  }
  return Result;
}

/// A row of the table.
struct Row {
  const char *Name_; ///< Name on the command line.
  double Use_;       ///< Demand over all slots.
  double Swing_;     ///< Swing of the demand's wave.
};

constexpr Row Rows[] = {{"use.60", 0.60, 0},
                        {"use.80", 0.80, 0},
                        {"use.95", 0.95, 0},
                        {"wave.60", 0.60, 0.55},
                        {"wave.80", 0.80, 0.55}};

bool runRow(const Row &Plan) {
  Report Got;
  for (Policy Kind : {Policy::Undivided, Policy::Divided}) {
    Got = Play(Kind, Plan.Use_, Plan.Swing_).run();
    std::printf("%-8s %-10s %8.3f %8.3f %8.0f %8.0f %8.3f\n", Plan.Name_,
                PolicyNames[static_cast<size_t>(Kind)],
                Report::getWorst(Got.First_), Report::getWorst(Got.All_),
                Got.Moved_, Got.OptimalMoves_, Got.MaxShift_);
  }
  bool IsFirstMet = Report::getWorst(Got.First_) >= MinOfOptimum;
  bool IsAllMet = Report::getWorst(Got.All_) >= MinOfOptimum;
  bool IsShiftMet = Got.MaxShift_ <= MaxShift;
  if (!IsFirstMet || !IsAllMet || !IsShiftMet)
    std::printf("%s: bound missed:%s%s%s\n", Plan.Name_,
                IsFirstMet ? "" : " first seconds", IsAllMet ? "" : " all",
                IsShiftMet ? "" : " shift");
  return IsFirstMet && IsAllMet && IsShiftMet;
}

} // namespace

int main(int Argc, char **Argv) {
  std::set<std::string> Wanted(Argv + 1, Argv + Argc);
  std::printf("seed %llu\n%-8s %-10s %8s %8s %8s %8s %8s\n",
              static_cast<unsigned long long>(Seed), "row", "policy", "first",
              "all", "moved", "optimum", "shift");
  bool IsMet = true;
  for (const Row &Plan : Rows)
    if (Wanted.empty() || Wanted.count(Plan.Name_))
      IsMet = runRow(Plan) && IsMet;
  return IsMet ? 0 : 1;
}
