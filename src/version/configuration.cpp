/// \file configuration.cpp Builds configurations from stored objects.
#include "version/configuration_builder_base.h"

#include "core/result_func.h"
#include "version/client_block_func.h"
#include "version/object_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>

using nlohmann::json;

namespace cranberry {

namespace {

template <typename T>
const T *findByName(const std::vector<T> &Entries, const std::string &Name) {
  auto Found = std::find_if(Entries.begin(), Entries.end(),
                            [&](const T &E) { return E.Name_ == Name; });
  return Found == Entries.end() ? nullptr : &*Found;
}

/// Adds decoded objects to a configuration.
class ObjectDecoder {
public:
  explicit ObjectDecoder(Configuration &Target) : Target_(Target) {}

  void addObject(const ObjectId &Id, const json &Body) {
    switch (Id.Kind_) {
    case ObjectKind::Region:
      Target_.Regions_.push_back(
          {Id.Name_, Body.value("headroom", RegionConfig().Headroom_)});
      return;
    case ObjectKind::Zone:
      Target_.Zones_.push_back(
          {Id.Name_, Body.at("region"), Body.value("entryVms", 1U)});
      return;
    case ObjectKind::Service:
      return addService(Id.Name_, Body);
    case ObjectKind::Pool:
      Target_.Pools_.push_back({Body.at("service"), Body.at("zone"),
                                Body.at("slots"), Body.at("servers")});
      return;
    case ObjectKind::Link:
      return addLink(Body);
    case ObjectKind::Limit:
      Target_.Limits_.push_back(
          {Body.at("region"), Body.at("service"), Body.at("maxConcurrent")});
      return;
    case ObjectKind::Drain:
      if (Body.contains("server"))
        Target_.DrainedServers_.insert(Body.at("server"));
      else
        Target_.DrainedVms_.insert(Body.at("vm"));
      return;
    case ObjectKind::Blocks:
    case ObjectKind::Status:
      return;
    }
  }

private:
  void addService(const std::string &Name, const json &Body) {
    ServiceConfig Service;
    Service.Name_ = Name;
    if (Body.contains("repeatableMethods"))
      Service.RepeatableMethods_ = Body.at("repeatableMethods");
    if (Body.contains("deadlineMs"))
      Service.Deadline_ = milliseconds(Body.at("deadlineMs").get<int64_t>());
    Service.MaxQueueLength_ = Body.value("maxQueue", Service.MaxQueueLength_);
    Target_.Services_.push_back(std::move(Service));
  }

  void addLink(const json &Body) {
    constexpr double BytesPerKbit = 1000.0 / 8.0;
    Target_.Links_.push_back({Body.at("from"), Body.at("to"),
                              Body.at("capKbit").get<double>() * BytesPerKbit,
                              Body.value("latencyMs", 0U)});
  }

  Configuration &Target_; ///< Configuration to add to.
};

} // namespace

const ServiceConfig *Configuration::findService(const std::string &Name) const {
  return findByName(Services_, Name);
}

const RegionConfig *Configuration::findRegion(const std::string &Name) const {
  return findByName(Regions_, Name);
}

const ZoneConfig *Configuration::findZone(const std::string &Name) const {
  return findByName(Zones_, Name);
}

const LinkConfig *Configuration::findLink(const std::string &From,
                                          const std::string &To) const {
  for (const LinkConfig &Link : Links_)
    if (Link.From_ == From && Link.To_ == To)
      return &Link;
  return nullptr;
}

const LimitConfig *Configuration::findLimit(const std::string &Region,
                                            const std::string &Service) const {
  for (const LimitConfig &Limit : Limits_)
    if (Limit.Region_ == Region && Limit.Service_ == Service)
      return &Limit;
  return nullptr;
}

unsigned Configuration::getSlotCount(const std::string &Service,
                                     const std::string &Region) const {
  unsigned Count = 0;
  for (const PoolConfig &Pool : Pools_) {
    const ZoneConfig *Zone = findZone(Pool.Zone_);
    if (Pool.Service_ == Service && Zone && Zone->Region_ == Region)
      Count +=
          Pool.SlotsPerServer_ * static_cast<unsigned>(Pool.Servers_.size());
  }
  return Count;
}

unsigned Configuration::getEntryVmCount(const std::string &Region) const {
  unsigned Count = 0;
  for (const ZoneConfig &Zone : Zones_)
    if (Zone.Region_ == Region)
      Count += Zone.MaxEntryVms_;
  return Count;
}

bool ConfigurationBuilder::addClientBlocks(const Object &Known, Reason &Why) {
  ParsedBlocks &Parsed = BlocksCache_[Known.Id_.Name_];
  if (Parsed.Revision_ != Known.Revision_) {
    auto Any = [](const ObjectId &) { return true; };
    std::optional<json> Body = parseObject(Known.Id_, Known.Body_, Any, Why);
    if (!Body)
      return false;
    Parsed = {Known.Revision_, {}, {}};
    std::map<std::string, uint16_t> IndexByZone;
    for (const json &Entry : Body->at("blocks")) {
      std::string Zone = Entry.at("zone");
      auto Next = static_cast<uint16_t>(IndexByZone.size());
      auto [Number, IsNew] = IndexByZone.try_emplace(Zone, Next);
      if (IsNew)
        Parsed.Zones_.push_back(Zone);
      Parsed.Routes_.push_back(
          {*parseClientBlock(Entry.at("prefix").get<std::string>()),
           ZoneIndex(Number->second)});
    }
  }
  std::vector<ZoneIndex> ZoneIndices;
  for (const std::string &Name : Parsed.Zones_) {
    const ZoneConfig *Zone = Target_->findZone(Name);
    ZoneIndices.emplace_back();
    if (Zone)
      ZoneIndices.back() =
          ZoneIndex(static_cast<uint16_t>(Zone - Target_->Zones_.data()));
    else
      Why = {ResultCode::ObjectDanglingReference, "blocks",
             "blocks of zone '" + Name + "' are left out"};
  }
  for (const ClientBlockRoute &Route : Parsed.Routes_)
    if (ZoneIndex Zone = ZoneIndices[Route.Zone_.get()]; Zone.isValid())
      Routes_.push_back({Route.Block_, Zone});
  return Why.Code_ == ResultCode::Ok;
}

ConfigurationPtr ConfigurationBuilder::build(const ObjectStore &Store) {
  auto Result = std::make_shared<Configuration>();
  Result->Revision_ = Store.getRevision();
  Target_ = Result.get();
  Routes_.clear();
  ObjectDecoder Decoder(*Result);
  auto Exists = [&](const ObjectId &Id) { return Store.find(Id) != nullptr; };
  for (const auto &[Id, Known] : Store.getObjects()) {
    if (Known.IsDeleted_ || Id.Kind_ == ObjectKind::Status)
      continue;
    Reason Why;
    bool IsUsed = true;
    if (Id.Kind_ == ObjectKind::Blocks)
      IsUsed = addClientBlocks(Known, Why);
    else if (std::optional<json> Body =
                 parseObject(Id, Known.Body_, Exists, Why))
      Decoder.addObject(Id, *Body);
    else
      IsUsed = false;
    if (!IsUsed)
      Result->IgnoredObjects_.push_back({Id, formatReason(Why)});
  }
  Result->ClientBlocks_ = ClientBlockTable(std::move(Routes_));
  return Result;
}

} // namespace cranberry
