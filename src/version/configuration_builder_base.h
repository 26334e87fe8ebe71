/// \file configuration_builder_base.h Builds configurations from stored
/// objects.
#ifndef CRANBERRY_VERSION_CONFIGURATION_BUILDER_BASE_H
#define CRANBERRY_VERSION_CONFIGURATION_BUILDER_BASE_H

#include "core/result_type.h"
#include "version/configuration_type.h"
#include "version/object_store_base.h"

#include <map>
#include <string>
#include <vector>

namespace cranberry {

/// Builds a configuration for each revision of the object store.
///
/// Client blocks make up most of a large configuration, and a change affects
/// few of their objects. The builder therefore caches parsed blocks and parses
/// only the objects that have changed since the previous build.
class ConfigurationBuilder {
public:
  /// Builds the configuration of the current revision of \p Store.
  ///
  /// Never fails: an object that is invalid or refers to a missing object is
  /// skipped and listed in IgnoredObjects_.
  ConfigurationPtr build(const ObjectStore &Store);

private:
  /// Cached result of parsing one object of kind Blocks.
  struct ParsedBlocks {
    Revision Revision_ = 0;                ///< Revision of the parsed object.
    std::vector<std::string> Zones_;       ///< Zones that occur in the object.
    std::vector<ClientBlockRoute> Routes_; ///< ZoneIndex refers to Zones_.
  };

  /// Adds the client blocks of an object. Blocks of a zone that does not exist
  /// are skipped.
  /// \param Known Object of kind Blocks.
  /// \param[out] Why Error if any block was skipped.
  /// \return Whether all blocks were added.
  bool addClientBlocks(const Object &Known, Reason &Why);

  std::map<std::string, ParsedBlocks> BlocksCache_; ///< Parsed objects by name.
  std::vector<ClientBlockRoute>
      Routes_;                      ///< Client blocks of the current build.
  Configuration *Target_ = nullptr; ///< Configuration being built.
};

} // namespace cranberry

#endif
