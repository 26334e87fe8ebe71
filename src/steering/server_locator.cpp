/// \file server_locator.cpp Server locations relative to this VM.
#include "steering/server_locator_base.h"

#include "core/duration_func.h"
#include "request/start_rate_limiter_base.h"

#include <algorithm>

namespace cranberry {

namespace {

/// The connect timeout is this number of round trips plus a fixed margin.
constexpr int ConnectRoundTrips = 3;
constexpr Duration ConnectMargin = milliseconds(100);

/// Round-trip times before any measurement, by proximity.
constexpr Duration DefaultRoundTrips[] = {milliseconds(1), milliseconds(4),
                                          milliseconds(80)};

/// Weight of a sample above the estimate. Slow samples may contain other
/// delays, whereas a fast one replaces the estimate at once.
constexpr double RoundTripGain = 0.05;

} // namespace

const std::string &ServerLocator::getRegion(const std::string &Zone) const {
  static const std::string None;
  auto Found = Settings_.Zones_.find(Zone);
  return Found == Settings_.Zones_.end() ? None : Found->second;
}

Proximity ServerLocator::getProximity(const std::string &Zone) const {
  if (Zone == Settings_.Zone_)
    return Proximity::SameZone;
  return getRegion(Zone) == Settings_.Region_ ? Proximity::SameRegion
                                              : Proximity::OtherRegion;
}

Duration ServerLocator::getRoundTrip(const std::string &Zone) const {
  Proximity Where = getProximity(Zone);
  auto Found = RoundTripByRegion_.find(getRegion(Zone));
  return Where == Proximity::OtherRegion && Found != RoundTripByRegion_.end()
             ? Found->second
             : DefaultRoundTrips[static_cast<size_t>(Where)];
}

Duration ServerLocator::getConnectTimeout(const std::string &Zone) const {
  // Not below the default, as the estimate may stem from one unusually fast
  // connection.
  Duration RoundTrip =
      DefaultRoundTrips[static_cast<size_t>(getProximity(Zone))];
  return std::max(RoundTrip, getRoundTrip(Zone)) * ConnectRoundTrips +
         ConnectMargin;
}

void ServerLocator::recordConnectTime(const std::string &Zone, Duration Took) {
  if (getProximity(Zone) != Proximity::OtherRegion)
    return;
  auto [Found, IsNew] = RoundTripByRegion_.try_emplace(getRegion(Zone), Took);
  Duration &Known = Found->second;
  if (!IsNew)
    Known = std::min(Took, Known + scaleDuration(Took - Known, RoundTripGain));
}

void ServerLocator::setMembers(const MemberList &Vms, Time Now) {
  std::map<std::string, unsigned> InZone;
  std::map<std::string, unsigned> InRegion;
  for (const Member &Vm : Vms) {
    ++InZone[Vm.Zone_];
    ++InRegion[Vm.Region_];
  }
  for (const auto &[Zone, Region] : Settings_.Zones_) {
    VmGroup &Same = VmsByZone_[Zone];
    Same.Count_ = Same.Peak_.update(InZone[Zone], Now);
  }
  for (const auto &[Region, Count] : InRegion)
    VmsByRegion_.try_emplace(Region);
  for (auto &[Region, Same] : VmsByRegion_)
    Same.Count_ = Same.Peak_.update(InRegion[Region], Now);
  AllVms_.Count_ = AllVms_.Peak_.update(static_cast<unsigned>(Vms.size()), Now);
  ColdStarts_.setMembers(Vms, Now);
}

double ServerLocator::getColdRateShare(const ServerRecord &Record) const {
  // Only the VMs of a cold server's zone warm it up. If there are none, the VMs
  // of its region do, or else all VMs.
  auto Count = [](const std::map<std::string, VmGroup> &Groups,
                  const std::string &Name) {
    auto Found = Groups.find(Name);
    return Found == Groups.end() ? 0U : Found->second.Count_;
  };
  Proximity Where = getProximity(Record.Zone_);
  if (unsigned InZone = Count(VmsByZone_, Record.Zone_); InZone > 0)
    return Where == Proximity::SameZone ? 1.0 / InZone : 0;
  if (unsigned InRegion = Count(VmsByRegion_, getRegion(Record.Zone_));
      InRegion > 0)
    return Where != Proximity::OtherRegion ? 1.0 / InRegion : 0;
  return 1.0 / std::max(1U, AllVms_.Count_);
}

double ServerLocator::getColdStartRate(const ServerRecord &Record,
                                       double AllVms) const {
  double Even = AllVms * getColdRateShare(Record);
  // A VM that may start less than one request in a window starts none at all.
  if (Even <= 0 || Even >= 1)
    return Even;
  return ColdStarts_.getStarts(Settings_.Vm_, Record.InstanceId_, Record.Zone_,
                               getRegion(Record.Zone_), AllVms);
}

BackendServerConfig
ServerLocator::makeBalancedServer(const UsableServer &Server,
                                  const RoutingConfig *Config) const {
  const ServerRecord &Record = Server.Record_;
  BackendServerConfig Result;
  Result.Id_ = Record.InstanceId_;
  Result.Zone_ = Record.Zone_;
  Result.Region_ = getRegion(Record.Zone_);
  Result.Proximity_ = getProximity(Record.Zone_);
  Result.RoundTrip_ = getRoundTrip(Record.Zone_);
  Result.Slots_ = Record.Slots_;
  Result.ColdUntil_ = Server.ColdUntil_;
  Result.ColdStartsFrom_ = ProcessStart_ + StartRateLimiter::Window;
  Result.BornMs_ = Record.StartTimeMs_;
  if (!Config)
    return Result;
  for (const BackendServiceConfig &Service : Config->Services_)
    if (Service.Name_ == Record.Service_)
      Result.ColdStartRate_ = getColdStartRate(
          Record, Service.ColdRate_ * Settings_.ColdBurstFactor_);
  return Result;
}

} // namespace cranberry
