/// \file blocking_call_func.h One HTTP call that is waited for.
#ifndef CRANBERRY_NET_BLOCKING_CALL_FUNC_H
#define CRANBERRY_NET_BLOCKING_CALL_FUNC_H

#include "net/http_type.h"

namespace cranberry {

/// Makes a call and waits for its end. For tools; the daemon never waits.
HttpResult callAndWait(HttpCall Call);

} // namespace cranberry

#endif
