/// \file route_table.cpp Finds the route of a request.
#include "version/route_table_base.h"

#include <absl/strings/ascii.h>

namespace cranberry {

RouteTable::RouteTable(const RoutingConfig &Config) {
  for (size_t I = 0; I < Config.Routes_.size(); ++I)
    Hosts_[Config.Routes_[I].Host_].emplace(Config.Routes_[I].PathPrefix_, I);
}

std::optional<size_t> RouteTable::find(std::string_view Host,
                                       std::string_view Target) const {
  Host = Host.substr(0, Host.find(':'));
  auto Found = Hosts_.find(
      absl::AsciiStrToLower(absl::string_view(Host.data(), Host.size())));
  if (Found == Hosts_.end())
    return std::nullopt;
  std::string_view Path = Target.substr(0, Target.find_first_of("?#"));
  // Prefixes end with a slash, so only these ends can match.
  for (size_t End = Path.rfind('/'); End != std::string_view::npos;
       End = End == 0 ? std::string_view::npos : Path.rfind('/', End - 1)) {
    auto Route = Found->second.find(absl::string_view(Path.data(), End + 1));
    if (Route != Found->second.end())
      return Route->second;
  }
  return std::nullopt;
}

} // namespace cranberry
