/// \file http_message_type.h HTTP/1.1 message types of the request path.
#ifndef CRANBERRY_NET_HTTP_MESSAGE_TYPE_H
#define CRANBERRY_NET_HTTP_MESSAGE_TYPE_H

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace cranberry {

/// A complete request with its body in memory.
using RequestMessage =
    boost::beast::http::request<boost::beast::http::string_body>;

/// A complete response with its body in memory.
using ResponseMessage =
    boost::beast::http::response<boost::beast::http::string_body>;

} // namespace cranberry

#endif
