/// \file route_table_base.h Finds the route of a request.
#ifndef CRANBERRY_VERSION_ROUTE_TABLE_BASE_H
#define CRANBERRY_VERSION_ROUTE_TABLE_BASE_H

#include "version/routing_type.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string_view>

namespace cranberry {

/// Routes of one version by host and prefix.
class RouteTable {
public:
  RouteTable() = default;
  explicit RouteTable(const RoutingConfig &Config);

  /// \param Host Host field, with or without a port, in any case.
  /// \param Target Path and query as sent.
  /// \return Index in Routes_ of the route with the longest prefix that begins
  /// the path, or nothing.
  std::optional<size_t> find(std::string_view Host,
                             std::string_view Target) const;

private:
  using PrefixMap = absl::flat_hash_map<std::string, size_t>;

  absl::flat_hash_map<std::string, PrefixMap> Hosts_; ///< By host.
};

} // namespace cranberry

#endif
