/// \file server_locator.cpp Where backend servers are, seen from this VM.
#include "steering/server_locator_base.h"

#include "core/duration_func.h"
#include "request/rate_gate_base.h"

#include <algorithm>

namespace cranberry {

namespace {

/// A connection is given up after this many round trips and a fixed time.
constexpr int ConnectRoundTrips = 3;
constexpr Duration ConnectSlack = milliseconds(100);

/// Round trips before any was measured, by proximity.
constexpr Duration FirstRoundTrips[] = {milliseconds(1), milliseconds(4),
                                        milliseconds(80)};

/// A connection that took long says little; one that was fast is the way.
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
             : FirstRoundTrips[static_cast<size_t>(Where)];
}

Duration ServerLocator::getConnectTimeout(const std::string &Zone) const {
  // The first estimate, as a measured one may be of a single lucky packet.
  Duration RoundTrip = FirstRoundTrips[static_cast<size_t>(getProximity(Zone))];
  return std::max(RoundTrip, getRoundTrip(Zone)) * ConnectRoundTrips +
         ConnectSlack;
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
}

double ServerLocator::getColdRateShare(const ServerRecord &Record) const {
  // A cold server is warmed up by the VMs of its zone alone; by those of its
  // region, then by all, if the zone has none.
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
      Result.ColdStartRate_ = Service.ColdRate_ * Settings_.ColdBurstFactor_ *
                              getColdRateShare(Record);
  return Result;
}

} // namespace cranberry
