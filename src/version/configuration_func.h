/// \file configuration_func.h Building a configuration out of objects.
#ifndef CRANBERRY_VERSION_CONFIGURATION_FUNC_H
#define CRANBERRY_VERSION_CONFIGURATION_FUNC_H

#include "version/configuration_type.h"
#include "version/object_store_base.h"

namespace cranberry {

/// Builds the configuration of the revision that \p Store is at.
///
/// Never fails: an object that does not pass validation, or that refers to an
/// absent one, is left out and listed in Ignored_.
ConfigurationPtr buildConfiguration(const ObjectStore &Store);

} // namespace cranberry

#endif
