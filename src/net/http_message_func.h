/// \file http_message_func.h Writing and cleaning HTTP/1.1 messages.
#ifndef CRANBERRY_NET_HTTP_MESSAGE_FUNC_H
#define CRANBERRY_NET_HTTP_MESSAGE_FUNC_H

#include "net/http_message_type.h"

#include <string>
#include <string_view>

namespace cranberry {

/// Removes the fields that concern one connection only, and those that the
/// Connection field names.
void eraseHopByHopFields(boost::beast::http::fields &Fields);

/// \return Bytes of \p Message with its body's length; a field Content-Length
/// of the message itself is replaced.
std::string serializeRequest(const RequestMessage &Message);

/// \param ToHead Whether it answers a HEAD request: the body is left out and
/// the length that the message tells is kept.
/// \param Close Whether the connection closes after it.
std::string serializeResponse(const ResponseMessage &Message, bool ToHead,
                              bool Close);

/// \return A response with a text body.
ResponseMessage makeResponse(unsigned Status, std::string Body,
                             std::string_view ContentType = "text/plain");

} // namespace cranberry

#endif
