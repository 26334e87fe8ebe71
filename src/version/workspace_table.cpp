/// \file workspace_table.cpp Finds the workspace that holds a key.
#include "version/workspace_table_base.h"

namespace cranberry {

WorkspaceTable::WorkspaceTable(const RoutingConfig &Config) {
  for (size_t I = 0; I < Config.Workspaces_.size(); ++I)
    for (const WorkspaceKeyDigest &Key : Config.Workspaces_[I].Keys_) {
      auto [At, IsNew] = Keys_.emplace(Key, I);
      if (IsNew || !At->second || *At->second == I)
        continue;
      At->second.reset();
      ++AmbiguousKeys_;
    }
}

std::optional<size_t>
WorkspaceTable::find(const WorkspaceKeyDigest &Key) const {
  auto Found = Keys_.find(Key);
  return Found == Keys_.end() ? std::nullopt : Found->second;
}

} // namespace cranberry
