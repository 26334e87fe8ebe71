/// \file workspace_table_base.h Finds the workspace that holds a key.
#ifndef CRANBERRY_VERSION_WORKSPACE_TABLE_BASE_H
#define CRANBERRY_VERSION_WORKSPACE_TABLE_BASE_H

#include "version/routing_type.h"

#include <absl/container/flat_hash_map.h>

#include <optional>

namespace cranberry {

/// Index of the API keys of one configuration version.
class WorkspaceTable {
public:
  WorkspaceTable() = default;
  /// A key that several workspaces hold identifies none of them.
  explicit WorkspaceTable(const RoutingConfig &Config);

  /// Finds the workspace that holds a key, in constant time.
  /// \return Index of the workspace in RoutingConfig::Workspaces_, or
  /// std::nullopt if none holds it.
  std::optional<size_t> find(const WorkspaceKeyDigest &Key) const;

  /// \return Number of keys that identify no workspace, as several hold them.
  size_t getAmbiguousKeyCount() const { return AmbiguousKeys_; }

private:
  absl::flat_hash_map<WorkspaceKeyDigest, std::optional<size_t>>
      Keys_;                 ///< Workspaces by key; empty if ambiguous.
  size_t AmbiguousKeys_ = 0; ///< See getAmbiguousKeyCount().
};

} // namespace cranberry

#endif
