/// \file blocking_call_func.h Blocking HTTP call.
#ifndef CRANBERRY_NET_BLOCKING_CALL_FUNC_H
#define CRANBERRY_NET_BLOCKING_CALL_FUNC_H

#include "net/http_type.h"

namespace cranberry {

/// Makes an HTTP call and blocks until it completes. Only for command-line
/// tools and tests; the daemon must not block a thread.
/// \return The result; errors are reported in its Code_.
HttpResult callAndWait(HttpCall Call);

} // namespace cranberry

#endif
