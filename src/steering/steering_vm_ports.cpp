/// \file steering_vm_ports.cpp Readiness, look-ups and metrics of an entry VM.
#include "net/http_message_func.h"
#include "platform/decode_func.h"
#include "platform/wire_names.h"
#include "steering/lookup_directory_func.h"
#include "steering/steering_vm_base.h"

namespace cranberry {

namespace {

constexpr unsigned Ok = 200;
constexpr unsigned NotFound = 404;
constexpr unsigned Unavailable = 503;

std::string toString(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

} // namespace

void SteeringVm::handlePeerRequest(const IngressExchangePtr &Exchange) {
  if (Exchange->getMessage().target() == RateShareExchange::Path)
    RateShares_.handleReport(Exchange);
  else if (!Quotas_.handleRequest(Exchange) &&
           !Configs_.handleRequest(Exchange))
    View_.handleRelayRequest(Exchange);
}

void SteeringVm::handleReadiness(const IngressExchangePtr &Exchange) {
  if (Exchange->getMessage().target() != platform::path::Readiness)
    Exchange->respond(makeResponse(NotFound, ""));
  else
    Exchange->respond(makeResponse(isReady() ? Ok : Unavailable, ""));
}

void SteeringVm::handleLookup(const IngressExchangePtr &Exchange) {
  std::optional<platform::LookupQuery> Question =
      platform::decodeLookupQuery(toString(Exchange->getMessage().target()));
  if (!Question) {
    Metrics_.countLookup(ResultCode::PathUnknown);
    Exchange->respond(makeResponse(NotFound, ""));
    return;
  }
  MemberList Vms = Peers_.getMembers();
  if (!isReady())
    std::erase_if(Vms,
                  [this](const Member &Vm) { return Vm.Vm_ == Settings_.Vm_; });
  // A VM that starts, or can't get a version that others have, may not have
  // heard of the VMs of a region.
  LookupSelection Selected =
      selectLookupAddresses(Vms, Question->Region_, Question->Zone_,
                            View_.isComplete() && !Configs_.isOutdated(getNow())
                                ? FleetKnowledge::Full
                                : FleetKnowledge::Partial);
  bool IsEmpty = Selected.Addresses_.empty();
  Metrics_.countLookup(IsEmpty ? ResultCode::NoEntryVm : ResultCode::Ok);
  if (Selected.HasOtherRegions_) {
    Metrics_.countOtherRegionLookup();
    Log_.write(getNow(), "lookup-other-region",
               {{"zone", Question->Zone_},
                {"region", Question->Region_},
                {"known", static_cast<uint64_t>(Vms.size())}});
  }
  if (IsEmpty)
    Exchange->respond(makeResponse(Unavailable, ""));
  else
    Exchange->respond(platform::encodeLookupResponse(Selected.Addresses_,
                                                     Settings_.LookupTtl_));
}

void SteeringVm::handleMetrics(const IngressExchangePtr &Exchange) {
  Router_.updateGauges();
  Metrics_.setGauge("cranberry_config_version", "force",
                    static_cast<double>(View_.getVersion()));
  Metrics_.setGauge("cranberry_config_version", "newest",
                    static_cast<double>(Configs_.getVersions().getNewest()));
  Metrics_.setGauge("cranberry_config_fetched", "all",
                    static_cast<double>(Configs_.getAppliedCount()));
  Metrics_.setGauge("cranberry_config_confirmation_age_ms", "all",
                    static_cast<double>(
                        toMilliseconds(Configs_.getConfirmationAge(getNow()))));
  Metrics_.setGauge("cranberry_entry_vms", "known",
                    static_cast<double>(MemberCount_));
  Metrics_.setGauge("cranberry_vm_use", "all", VmLoad_.getUse());
  Metrics_.setGauge("cranberry_store_calls", "all",
                    static_cast<double>(Store_.getCallCount()));
  Metrics_.setGauge("cranberry_log_lines_dropped", "all",
                    static_cast<double>(Log_.getDroppedCount()));
  Exchange->respond(
      makeResponse(Ok, Metrics_.serialize(), "text/plain; version=0.0.4"));
}

} // namespace cranberry
