/// \file division_cost.cpp Cost of servers outside of the assigned region.
#include "request/division_cost_func.h"

namespace cranberry {

namespace {

/// Transfer cost of a request to another zone or region.
constexpr Duration OtherZoneCost = milliseconds(25);
constexpr Duration OtherRegionCost = milliseconds(25);

} // namespace

PreferredServer rankByDivision(const PreferredServer &Server,
                               const std::string *Assigned) {
  PreferredServer Result = Server;
  if (!Assigned)
    return Result;
  if (Server.Server_->getConfig().Region_ == *Assigned) {
    Result.Division_ = DivisionPlace::Assigned;
    return Result;
  }
  Result.Division_ = DivisionPlace::Elsewhere;
  ++Result.Rank_;
  return Result;
}

Duration getTransferCost(const BackendServerConfig &Server,
                         DivisionPlace Place) {
  Duration Result{0};
  if (Server.Proximity_ == Proximity::SameRegion)
    Result = OtherZoneCost;
  if (Server.Proximity_ == Proximity::OtherRegion)
    Result = OtherRegionCost;
  switch (Place) {
  case DivisionPlace::Undivided:
    return Result;
  case DivisionPlace::Assigned:
    // The assigned region is preferred in spite of its distance.
    return Server.Proximity_ == Proximity::OtherRegion ? -Server.RoundTrip_
                                                       : Result;
  case DivisionPlace::Elsewhere:
    return Result + OtherRegionCost;
  }
  return Result;
}

} // namespace cranberry
