/// \file vm_discovery.cpp Finds other entry VMs in the store.
#include "steering/vm_discovery_base.h"

#include "net/ingress_server_base.h"
#include "platform/decode_func.h"
#include "platform/wire_names.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Intervals between lists while no other VM is known.
constexpr Duration MinInterval = milliseconds(300);
constexpr Duration MaxInterval = seconds(5);

/// Interval between lists of any of the VMs that know each other.
constexpr Duration GroupInterval = seconds(4);

/// A VM lists at least this rarely while it knows others.
constexpr Duration MinContactInterval = seconds(20);

} // namespace

VmDiscovery::VmDiscovery(boost::asio::io_context &Loop,
                         platform::StoreClient &Store, EventLog &Log,
                         std::string Self, uint64_t Seed, Handler OnList)
    : Store_(Store), Log_(Log), Self_(std::move(Self)),
      OnList_(std::move(OnList)), Timer_(Loop), Random_(Seed) {}

void VmDiscovery::start() { requestPage(""); }

void VmDiscovery::requestPage(const std::string &After) {
  // Later lists may be some seconds old, as VMs that have started since contact
  // the others themselves.
  Store_.list(
      platform::kind::EntryVms, After,
      [this, After](const platform::StoreResponse &Reply) {
        handlePage(Reply, After);
      },
      IsFirst_ ? platform::ReadMode::Latest : platform::ReadMode::MayBeStale);
}

void VmDiscovery::handlePage(const platform::StoreResponse &Reply,
                             const std::string &After) {
  Reason Why;
  std::optional<platform::StorePage> Page;
  if (Reply.Status_ == platform::StoreStatus::Ok)
    Page = platform::decodePage(Reply.Body_, Why);
  if (!Page) {
    Log_.write(
        getNow(), "discovery-failed",
        {{"status",
          platform::StoreStatusNames[static_cast<size_t>(Reply.Status_)]},
         {"text", Reply.ErrorText_}});
    finish();
    return;
  }
  for (const platform::StoreObject &Object : Page->Objects_) {
    if (!Object.Body_.is_object())
      continue;
    auto Peer = Object.Body_.find("peer");
    if (Peer == Object.Body_.end() || !Peer->is_string())
      continue;
    std::string Address = *Peer;
    if (Address != Self_ && parseEndpoint(Address))
      Peers_.push_back(std::move(Address));
  }
  IsFirst_ = false;
  if (platform::canListAfter(*Page, After))
    requestPage(Page->LastName_);
  else
    finish();
}

void VmDiscovery::finish() {
  std::vector<std::string> Peers;
  Peers.swap(Peers_);
  Timer_.expires_after(getInterval());
  Timer_.async_wait([this](boost::system::error_code Cancelled) {
    if (!Cancelled)
      requestPage("");
  });
  OnList_(Peers);
}

Duration VmDiscovery::getInterval() {
  if (Members_ <= 1) {
    Interval_ = std::clamp(Interval_ * 2, MinInterval, MaxInterval);
    return Interval_;
  }
  Interval_ = Duration(0);
  Duration Mean = std::max(MinContactInterval,
                           GroupInterval * static_cast<int64_t>(Members_));
  std::uniform_int_distribution<int64_t> Jitter(Mean.count() / 2,
                                                Mean.count() * 3 / 2);
  return Duration(Jitter(Random_));
}

} // namespace cranberry
