/// \file route_table_base.h Matches requests to routes.
#ifndef CRANBERRY_VERSION_ROUTE_TABLE_BASE_H
#define CRANBERRY_VERSION_ROUTE_TABLE_BASE_H

#include "version/routing_type.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string_view>

namespace cranberry {

/// Index of the routes of one configuration version by host and path prefix.
class RouteTable {
public:
  RouteTable() = default;
  explicit RouteTable(const RoutingConfig &Config);

  /// Finds a route by exact host and longest path prefix.
  /// \param Host Host header, with or without a port; case-insensitive.
  /// \param Target Request target: path and query.
  /// \return Index of the route in RoutingConfig::Routes_, or std::nullopt if
  /// none matches.
  std::optional<size_t> find(std::string_view Host,
                             std::string_view Target) const;

private:
  using PrefixMap = absl::flat_hash_map<std::string, size_t>;

  absl::flat_hash_map<std::string, PrefixMap> Hosts_; ///< Prefixes by host.
};

} // namespace cranberry

#endif
