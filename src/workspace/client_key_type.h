/// \file client_key_type.h Credentials of a client's request.
#ifndef CRANBERRY_WORKSPACE_CLIENT_KEY_TYPE_H
#define CRANBERRY_WORKSPACE_CLIENT_KEY_TYPE_H

#include "version/workspace_key_type.h"

#include <optional>
#include <string>

namespace cranberry {

/// Form of the credentials in a request.
enum class ClientKeyForm : uint8_t {
  Absent,    ///< There are none.
  Malformed, ///< They aren't one API key.
  Key,       ///< One API key.
};

/// Log names of ClientKeyForm, in the order of the enum.
inline constexpr const char *ClientKeyFormNames[] = {"absent", "malformed",
                                                     "key"};

/// Credentials of a request. The key itself isn't kept.
struct ClientKey {
  ClientKeyForm Form_ = ClientKeyForm::Absent; ///< Form of the credentials.
  std::optional<WorkspaceKeyDigest> Digest_;   ///< Digest of the key, if any.
  std::string Fingerprint_; ///< Fingerprint of the key for logs, or empty.
};

} // namespace cranberry

#endif
