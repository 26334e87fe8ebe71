/// \file dispatcher.cpp Schedules the requests of a service on backend servers.
#include "request/dispatcher_base.h"

#include "core/result_func.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace cranberry {

namespace {

constexpr int RetryBurst = 10;
constexpr Duration MinBackoff = milliseconds(10);
constexpr Duration MaxBackoff = milliseconds(500);
constexpr unsigned MaxBackoffDoublings = 6;
/// Hedge delay in multiples of the estimate.
constexpr int HedgeDelayFactor = 4;
/// Hedges need 1/5 of the slots free.
constexpr unsigned HedgeFreeSlotDivisor = 5;
/// Silence timeout in longest running times.
constexpr int SilenceTimeoutFactor = 3;
/// Long-running routes exceed this many medians.
constexpr int LongRunningFactor = 4;
/// Share of slots for long-running routes.
constexpr double MaxLongRunningShare = 0.3;
constexpr Duration MinSilenceTimeout = seconds(2);
constexpr Duration MinHedgeDelay = milliseconds(2);

} // namespace

Dispatcher::Dispatcher(const DispatcherLimits &Limits)
    : Limits_(Limits), Queue_(Limits.Order_),
      Budget_(Limits.RetryRatio_, RetryBurst) {}

void Dispatcher::setLimits(const DispatcherLimits &Limits) { Limits_ = Limits; }

void Dispatcher::setServers(const std::vector<ServerSpec> &Specs, Time Now) {
  Pool_.setServers(Specs, Now);
  dispatch(Now);
}

void Dispatcher::setPeers(std::vector<PeerSpec> Peers) {
  std::stable_sort(
      Peers.begin(), Peers.end(), [](const PeerSpec &A, const PeerSpec &B) {
        return std::pair(A.Tier_, A.Latency_) < std::pair(B.Tier_, B.Latency_);
      });
  Peers_ = std::move(Peers);
}

void Dispatcher::setHealth(const std::string &Server, ServerHealth Health,
                           Time Now) {
  Pool_.setHealth(Server, Health, Now);
  dispatch(Now);
}

RequestIndex Dispatcher::addRequest(RequestTraits Traits, Time Now) {
  RequestIndex Index(NextRequest_++);
  bool IsGranted = Traits.Grant_.isValid();
  Request &R = Requests_[Index];
  R.Traits_ = std::move(Traits);
  Timers_.push({R.Traits_.Deadline_, TimerKind::Deadline, Index.get()});
  if (R.Traits_.Deadline_ <= Now) {
    finish(Index, ResultCode::DeadlineBeforeStart, {}, Now);
    return Index;
  }
  R.IsFromOtherRegion_ =
      IsGranted && !IssuedGrants_.isReserving(R.Traits_.Grant_);
  if (IsGranted && !IssuedGrants_.tryUseSlot(R.Traits_.Grant_, Now)) {
    R.Traits_.Grant_ = GrantIndex::invalid();
    finish(Index, ResultCode::GrantStale, {}, Now);
    return Index;
  }
  if (!IsGranted && Queue_.getSize() >= Limits_.MaxQueue_) {
    finish(Index, ResultCode::QueueFull, {}, Now);
    return Index;
  }
  enqueue(Index);
  dispatch(Now);
  return Index;
}

void Dispatcher::enqueue(RequestIndex Index) {
  Request &R = Requests_.at(Index);
  R.Phase_ = Phase::Waiting;
  if (IssuedGrants_.isReserving(R.Traits_.Grant_))
    Queue_.pushFront(Index);
  else
    Queue_.push(Index, R.Traits_.Arrived_,
                History_.getEstimate(R.Traits_.Route_));
}

unsigned Dispatcher::getFreeOwn(Time Now) {
  unsigned Free = Pool_.getFreeSlots(Now);
  unsigned Used = Pool_.getInUse() + IssuedGrants_.getReservedSlots(Now);
  unsigned Room =
      Limits_.MaxConcurrent_ > Used ? Limits_.MaxConcurrent_ - Used : 0;
  unsigned Reserved = IssuedGrants_.getReservedSlots(Now);
  unsigned Unreserved = Free > Reserved ? Free - Reserved : 0;
  return std::min(Unreserved, Room);
}

void Dispatcher::dispatch(Time Now) {
  startWaiting(Now);
  if (Queue_.isEmpty()) {
    for (const HeldGrant &Grant : HeldGrants_.prune(Now, true))
      Actions_.push_back(ReleaseGrant{Grant.Vm_, Grant.Grant_});
    if (Limits_.IsHedgingEnabled_)
      startHedges(Now);
    replyToSlotRequests(Now);
    return;
  }
  cancelHedges();
  requestPeerSlots(Now);
}

void Dispatcher::cancelHedges() {
  size_t Wanted = Queue_.getSize();
  std::vector<AttemptIndex> Added;
  for (const auto &[Index, A] : Attempts_) {
    bool IsHedge = A.Charged_ && A.Server_.isValid() &&
                   Requests_.at(A.Request_).Running_.size() > 1;
    if (IsHedge && A.IsCancelled_)
      --Wanted;
    else if (IsHedge)
      Added.push_back(Index);
    if (Wanted == 0)
      return;
  }
  // Cancel the newest hedges first: they have done the least work.
  std::sort(Added.rbegin(), Added.rend());
  for (size_t I = 0; I < std::min(Wanted, Added.size()); ++I) {
    Attempts_.at(Added[I]).IsCancelled_ = true;
    Actions_.push_back(CancelAttempt{Added[I]});
  }
}

void Dispatcher::startWaiting(Time Now) {
  std::vector<RequestIndex> Blocked;
  while (std::optional<RequestIndex> Index = Queue_.pop()) {
    bool IsDeferred = shouldDefer(Requests_.at(*Index), Now);
    if (!IsDeferred && getFreeOwn(Now) > 0 &&
        startAtServer(*Index, Now, "free slot"))
      continue;
    if (startAtPeer(*Index, Now))
      continue;
    Blocked.push_back(*Index);
    bool IsOnlyThisBlocked = IsDeferred ||
                             Requests_.at(*Index).AvoidServer_.isValid() ||
                             !Requests_.at(*Index).AvoidVm_.empty() ||
                             Requests_.at(*Index).Traits_.Grant_.isValid();
    if (!IsOnlyThisBlocked)
      break;
  }
  for (RequestIndex Index : Blocked)
    enqueue(Index);
}

bool Dispatcher::isLongRunning(const std::string &Route) const {
  return History_.getMedian(Route) >
         LongRunningFactor * History_.getOverallMedian();
}

bool Dispatcher::shouldDefer(const Request &R, Time Now) {
  if (R.IsFromOtherRegion_ && getFreeOwn(Now) <= getHeadroomSlots(Now))
    return true;
  if (R.Traits_.Grant_.isValid() || !isLongRunning(R.Traits_.Route_))
    return false;
  auto MaxLongRunning = static_cast<unsigned>(
      std::ceil(MaxLongRunningShare * Pool_.getUsableSlots(Now)));
  return LongInUse_ >= MaxLongRunning;
}

bool Dispatcher::startAtServer(RequestIndex Index, Time Now, const char *Why) {
  Request &R = Requests_.at(Index);
  std::optional<ServerIndex> Server = Pool_.pick(Now, R.AvoidServer_);
  if (!Server && R.Phase_ == Phase::Waiting)
    Server = Pool_.pick(Now, ServerIndex::invalid());
  if (!Server)
    return false;
  AttemptIndex Attempt = addAttempt(Index, Now);
  struct Attempt &New = Attempts_.at(Attempt);
  New.Server_ = *Server;
  New.IsLongRunning_ = isLongRunning(R.Traits_.Route_);
  LongInUse_ += New.IsLongRunning_ ? 1 : 0;
  Pool_.acquireSlot(*Server);
  Actions_.push_back(
      StartServerAttempt{Attempt, Index, Pool_.getAddress(*Server), Why});
  return true;
}

bool Dispatcher::startAtPeer(RequestIndex Index, Time Now) {
  const Request &R = Requests_.at(Index);
  if (R.Traits_.Grant_.isValid())
    return false;
  std::optional<HeldGrant> Grant = HeldGrants_.tryUseSlot(Now, R.AvoidVm_);
  if (!Grant)
    return false;
  AttemptIndex Attempt = addAttempt(Index, Now);
  Attempts_.at(Attempt).Vm_ = Grant->Vm_;
  Attempts_.at(Attempt).Grant_ = Grant->Grant_;
  Actions_.push_back(StartPeerAttempt{Attempt, Index, Grant->Vm_, Grant->Grant_,
                                      Grant->Incarnation_});
  return true;
}

AttemptIndex Dispatcher::addAttempt(RequestIndex Index, Time Now) {
  AttemptIndex Attempt(NextAttempt_++);
  Request &R = Requests_.at(Index);
  assert(R.Traits_.IsRepeatable_ || (R.Running_.empty() && !R.MayHaveRun_));
  R.Phase_ = Phase::Running;
  R.Running_.push_back(Attempt);
  struct Attempt &New = Attempts_[Attempt];
  New.Request_ = Index;
  New.Started_ = Now;
  New.Expected_ = History_.getEstimate(R.Traits_.Route_);
  New.Charged_ = std::exchange(R.NextCharge_, std::nullopt);
  if (R.Traits_.IsRepeatable_)
    Timers_.push({getSilentTime(New), TimerKind::Silent, Attempt.get()});
  bool IsHedgeable = Limits_.IsHedgingEnabled_ && R.Traits_.IsRepeatable_ &&
                     !New.Charged_ && New.Expected_ > Duration::zero();
  if (IsHedgeable)
    Timers_.push({Now + getHedgeDelay(New), TimerKind::Hedge, Attempt.get()});
  return Attempt;
}

Time Dispatcher::getSilentTime(const Attempt &A) const {
  const Request &R = Requests_.at(A.Request_);
  Duration Longest = History_.getLongest(R.Traits_.Route_);
  return A.Started_ +
         std::max(MinSilenceTimeout, SilenceTimeoutFactor * Longest);
}

Duration Dispatcher::getHedgeDelay(const Attempt &A) const {
  return std::max(MinHedgeDelay, HedgeDelayFactor * A.Expected_);
}

bool Dispatcher::chargeAttempt(Request &R) {
  R.NextCharge_ = Budget_.trySpend(History_.getEstimate(R.Traits_.Route_));
  return R.NextCharge_.has_value();
}

void Dispatcher::startHedges(Time Now) {
  for (auto Next = HedgeCandidates_.begin(); Next != HedgeCandidates_.end();) {
    // Hedges leave free slots for the next arrivals.
    if (getFreeOwn(Now) * HedgeFreeSlotDivisor < Pool_.getUsableSlots(Now))
      return;
    auto Found = Attempts_.find(*Next);
    bool IsOver = Found == Attempts_.end() || Found->second.IsCancelled_ ||
                  !Found->second.Server_.isValid();
    RequestIndex Index = IsOver ? RequestIndex() : Found->second.Request_;
    if (IsOver || Requests_.at(Index).Running_.size() != 1) {
      Next = HedgeCandidates_.erase(Next);
      continue;
    }
    Request &R = Requests_.at(Index);
    R.AvoidServer_ = Found->second.Server_;
    if (!Pool_.pick(Now, R.AvoidServer_) || !chargeAttempt(R)) {
      ++Next;
      continue;
    }
    ++Hedges_;
    startAtServer(Index, Now, "hedge");
    Next = HedgeCandidates_.erase(Next);
  }
}

void Dispatcher::recordAttemptEnd(const Attempt &A, ResultCode Code, Time Now) {
  const Request &R = Requests_.at(A.Request_);
  if (!A.Server_.isValid()) {
    HeldGrants_.returnSlot(A.Grant_, A.Vm_);
    if (Code == ResultCode::GrantStale || Code == ResultCode::PeerUnreachable ||
        Code == ResultCode::PeerAnswerLost)
      HeldGrants_.removeVm(A.Vm_);
    if (Code != ResultCode::Ok)
      delaySlotRequests(A.Vm_, Now);
    return;
  }
  Pool_.releaseSlot(A.Server_);
  LongInUse_ -= A.IsLongRunning_ ? 1 : 0;
  Duration Ran = Now - A.Started_;
  if (A.Charged_)
    Budget_.settle(Ran, *A.Charged_);
  else if (getOutcome(Code) != Outcome::NotRun)
    Budget_.earn(Ran);
  if (Code == ResultCode::Ok && !A.IsCancelled_) {
    Pool_.recordTiming(A.Server_, Ran, A.Expected_);
    History_.recordCompleted(R.Traits_.Route_, Ran);
  } else if (Code == ResultCode::ServerRefused) {
    Pool_.recordRefusal(A.Server_, Now);
  } else if (Code == ResultCode::ServerConnectFailed) {
    Pool_.recordConnectFailure(A.Server_);
  } else if (Ran > A.Expected_) {
    Pool_.recordTiming(A.Server_, Ran, A.Expected_);
  }
}

void Dispatcher::finishAttempt(AttemptIndex Attempt, ResultCode Code,
                               Time Now) {
  auto Found = Attempts_.find(Attempt);
  if (Found == Attempts_.end())
    return;
  struct Attempt Ended = std::move(Found->second);
  recordAttemptEnd(Ended, Code, Now);
  Attempts_.erase(Found);
  Request &R = Requests_.at(Ended.Request_);
  std::erase(R.Running_, Attempt);
  if (R.Phase_ == Phase::Finished) {
    if (R.Running_.empty()) {
      if (!Ended.IsCancelled_)
        Actions_.push_back(ReportLateResult{Ended.Request_, Code, Attempt});
      removeRequest(Ended.Request_, Now);
    }
  } else if (Code == ResultCode::Ok) {
    finish(Ended.Request_, Code, Attempt, Now);
  } else if (!Ended.IsCancelled_ || R.Running_.empty()) {
    if (getOutcome(Code) == Outcome::Unknown) {
      R.MayHaveRun_ = true;
      R.UnknownResult_ = Code;
    }
    R.AvoidServer_ = Ended.Server_;
    R.AvoidVm_ = Ended.Vm_;
    ++R.Failures_;
    if (R.Running_.empty())
      retryOrFinish(Ended.Request_, Code, Now);
  }
  dispatch(Now);
}

void Dispatcher::retryOrFinish(RequestIndex Index, ResultCode Code, Time Now) {
  Request &R = Requests_.at(Index);
  bool DidNotRun = getOutcome(Code) == Outcome::NotRun;
  if (R.MayHaveRun_ && !R.Traits_.IsRepeatable_)
    return finish(Index, R.UnknownResult_, {}, Now);
  if (R.Traits_.Grant_.isValid())
    return finish(Index, Code, {}, Now);
  if (!DidNotRun) {
    if (!chargeAttempt(R))
      return finish(Index, ResultCode::RetryBudgetSpent, {}, Now);
  }
  startBackoff(Index, Now);
}

void Dispatcher::startBackoff(RequestIndex Index, Time Now) {
  Request &R = Requests_.at(Index);
  unsigned Doublings = std::min(R.Failures_ - 1, MaxBackoffDoublings);
  Duration Delay = std::min(MaxBackoff, MinBackoff * (1U << Doublings));
  // Add jitter from the request index, so that requests that failed together
  // are not retried in one burst.
  constexpr uint64_t SpreadSteps = 16;
  Delay += Delay * (Index.get() % SpreadSteps) / (2 * SpreadSteps);
  R.Phase_ = Phase::Backoff;
  R.ReadyAt_ = R.Failures_ == 1 ? Now : Now + Delay;
  if (R.ReadyAt_ <= Now)
    enqueue(Index);
  else
    Timers_.push({R.ReadyAt_, TimerKind::Backoff, Index.get()});
}

void Dispatcher::cancelAttempts(Request &R) {
  for (AttemptIndex Attempt : R.Running_) {
    Attempts_.at(Attempt).IsCancelled_ = true;
    Actions_.push_back(CancelAttempt{Attempt});
  }
}

void Dispatcher::finish(RequestIndex Index, ResultCode Code,
                        AttemptIndex ResponseAttempt, Time Now) {
  Request &R = Requests_.at(Index);
  assert(R.Phase_ != Phase::Finished);
  if (getOutcome(Code) == Outcome::NotRun && R.MayHaveRun_)
    Code = R.UnknownResult_;
  Queue_.remove(Index);
  R.Phase_ = Phase::Finished;
  if (R.Traits_.IsRepeatable_ || Code == ResultCode::Ok)
    cancelAttempts(R);
  Actions_.push_back(FinishRequest{Index, Code, ResponseAttempt});
  if (R.Running_.empty())
    removeRequest(Index, Now);
}

void Dispatcher::removeRequest(RequestIndex Index, Time Now) {
  const Request &R = Requests_.at(Index);
  if (R.Traits_.Grant_.isValid())
    IssuedGrants_.returnSlot(R.Traits_.Grant_, Now);
  Requests_.erase(Index);
}

void Dispatcher::cancelRequest(RequestIndex Index, Time Now) {
  auto Found = Requests_.find(Index);
  if (Found == Requests_.end() || Found->second.Phase_ == Phase::Finished)
    return;
  const Request &R = Found->second;
  bool MayHaveStarted = !R.Running_.empty() || R.MayHaveRun_;
  finish(Index,
         MayHaveStarted ? ResultCode::Cancelled
                        : ResultCode::DeadlineBeforeStart,
         {}, Now);
  dispatch(Now);
}

void Dispatcher::expireDeadline(RequestIndex Index, Time Now) {
  auto Found = Requests_.find(Index);
  if (Found == Requests_.end() || Found->second.Phase_ == Phase::Finished)
    return;
  const Request &R = Found->second;
  bool MayHaveStarted = !R.Running_.empty() || R.MayHaveRun_;
  bool HasNoServer =
      R.Failures_ == 0 && !Pool_.hasLiveServer() && Peers_.empty();
  ResultCode NotRun =
      HasNoServer ? ResultCode::NoServer : ResultCode::DeadlineBeforeStart;
  finish(Index, MayHaveStarted ? ResultCode::DeadlineAfterStart : NotRun, {},
         Now);
}

void Dispatcher::checkSilence(AttemptIndex Attempt, Time Now) {
  auto Found = Attempts_.find(Attempt);
  if (Found == Attempts_.end() || Found->second.IsCancelled_)
    return;
  const struct Attempt &A = Found->second;
  // The timeout may have grown with longer runs since the attempt started.
  if (Time Silent = getSilentTime(A); Now < Silent) {
    Timers_.push({Silent, TimerKind::Silent, Attempt.get()});
    return;
  }
  History_.recordUnfinished(Requests_.at(A.Request_).Traits_.Route_,
                            Now - A.Started_);
  ++Silent_;
  Actions_.push_back(CancelAttempt{Attempt});
  finishAttempt(Attempt, ResultCode::ConnectionSilent, Now);
}

void Dispatcher::handleTimer(const Timer &Next, Time Now) {
  switch (Next.Kind_) {
  case TimerKind::Deadline:
    return expireDeadline(RequestIndex(Next.Id_), Now);
  case TimerKind::Backoff: {
    auto Found = Requests_.find(RequestIndex(Next.Id_));
    if (Found != Requests_.end() && Found->second.Phase_ == Phase::Backoff)
      enqueue(Found->first);
    return;
  }
  case TimerKind::Hedge:
    if (Attempts_.contains(AttemptIndex(Next.Id_)))
      HedgeCandidates_.insert(AttemptIndex(Next.Id_));
    return;
  case TimerKind::Silent:
    return checkSilence(AttemptIndex(Next.Id_), Now);
  }
}

void Dispatcher::handleTimers(Time Now) {
  while (!Timers_.empty() && Timers_.top().At_ <= Now) {
    Timer Next = Timers_.top();
    Timers_.pop();
    handleTimer(Next, Now);
  }
}

void Dispatcher::tick(Time Now) {
  handleTimers(Now);
  HeldGrants_.prune(Now, false);
  dispatch(Now);
  if (!Queue_.isEmpty())
    expireSlotRequests(Now);
}

Actions Dispatcher::takeActions() {
  Actions Taken;
  Taken.swap(Actions_);
  return Taken;
}

std::optional<Time> Dispatcher::getNextWake(Time Now) {
  std::optional<Time> Next;
  auto Consider = [&](Time At) {
    if (!Next || At < *Next)
      Next = At;
  };
  if (!Timers_.empty())
    Consider(Timers_.top().At_);
  for (const PeerSlotRequest &Request : OpenSlotRequests_)
    Consider(Request.WaitUntil_);
  if (!Queue_.isEmpty()) {
    if (std::optional<Time> Change = Pool_.getNextChange(Now))
      Consider(*Change);
    for (const auto &[Vm, After] : NextSlotRequest_)
      if (After > Now)
        Consider(After);
    for (const PeerSpec &Peer : Peers_)
      if (Time At = getFarRequestTime(Peer);
          Peer.Tier_ == PeerTier::OtherRegion && At > Now)
        Consider(At);
  }
  if (!Queue_.isEmpty() || !OpenSlotRequests_.empty())
    if (std::optional<Time> Expiry = IssuedGrants_.getNextExpiry())
      Consider(*Expiry);
  return Next;
}

DispatcherStats Dispatcher::getStats(Time Now) {
  return {Queue_.getSize(),
          Pool_.getInUse(),
          Pool_.getUsableSlots(Now),
          IssuedGrants_.getReservedSlots(Now),
          Budget_.getAddedAttempts(),
          Hedges_,
          Silent_};
}

} // namespace cranberry
