/// \file http_message_func.h Serialization of HTTP/1.1 messages.
#ifndef CRANBERRY_NET_HTTP_MESSAGE_FUNC_H
#define CRANBERRY_NET_HTTP_MESSAGE_FUNC_H

#include "net/http_message_type.h"

#include <string>
#include <string_view>

namespace cranberry {

/// \return Whether a field of the given name has a certain property.
using FieldFilter = bool (*)(std::string_view Name);

/// Removes the hop-by-hop header fields, including those listed in Connection
/// fields, before a message is forwarded.
/// \param IsKept Fields that stay even if Connection lists them. Host,
/// Authorization and Content-* always do.
void eraseHopByHopFields(boost::beast::http::fields &Fields,
                         FieldFilter IsKept = nullptr);

/// \return \p Message in wire format. Content-Length is computed from the body;
/// a field of that name in the message is ignored.
std::string serializeRequest(const RequestMessage &Message);

/// \param ToHead Whether it responds to a HEAD request: the body is omitted and
/// the message's own Content-Length is kept.
/// \param Close Whether to add "Connection: close".
/// \return \p Message in wire format.
std::string serializeResponse(const ResponseMessage &Message, bool ToHead,
                              bool Close);

/// \param ContentType Content type; only set if there is a body.
/// \return A response with the given status and body.
ResponseMessage makeResponse(unsigned Status, std::string Body,
                             std::string_view ContentType = "text/plain");

} // namespace cranberry

#endif
