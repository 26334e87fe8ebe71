/// \file http_message_type.h HTTP/1.1 messages of the request path.
#ifndef CRANBERRY_NET_HTTP_MESSAGE_TYPE_H
#define CRANBERRY_NET_HTTP_MESSAGE_TYPE_H

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace cranberry {

/// A whole request, its body in memory.
using RequestMessage =
    boost::beast::http::request<boost::beast::http::string_body>;

/// A whole response, its body in memory.
using ResponseMessage =
    boost::beast::http::response<boost::beast::http::string_body>;

} // namespace cranberry

#endif
