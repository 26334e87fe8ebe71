/// \file configuration_func.h Building a configuration out of objects.
#ifndef CRANBERRY_VERSION_CONFIGURATION_FUNC_H
#define CRANBERRY_VERSION_CONFIGURATION_FUNC_H

#include "core/result_type.h"
#include "version/configuration_type.h"
#include "version/object_store_base.h"

#include <map>
#include <string>
#include <vector>

namespace cranberry {

/// Builds configurations one after another.
///
/// Client blocks make up nearly all of a large configuration, and a change
/// touches few of their objects; those that did not change are not read again.
class ConfigurationBuilder {
public:
  /// Builds the configuration of the revision that \p Store is at.
  ///
  /// Never fails: an object that does not pass validation, or that refers to an
  /// absent one, is left out and listed in Ignored_.
  ConfigurationPtr build(const ObjectStore &Store);

private:
  /// A blocks object as it was read.
  struct ParsedBlocks {
    Revision Revision_ = 0;                ///< Version that was read.
    std::vector<std::string> Zones_;       ///< Zones that are named.
    std::vector<ClientBlockRoute> Routes_; ///< ZoneIndex counts in Zones_.
  };

  /// Adds what can be used of a blocks object.
  /// \return Whether that is all of it.
  bool addClientBlocks(const Object &Known, Reason &Why);

  std::map<std::string, ParsedBlocks> BlocksCache_; ///< By object name.
  std::vector<ClientBlockRoute> Routes_;            ///< Of the current build.
  Configuration *Target_ = nullptr;                 ///< Of the current build.
};

} // namespace cranberry

#endif
