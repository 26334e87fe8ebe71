/// \file http_target_func.h Parsing of HTTP request targets.
#ifndef CRANBERRY_NET_HTTP_TARGET_FUNC_H
#define CRANBERRY_NET_HTTP_TARGET_FUNC_H

#include <map>
#include <string>
#include <string_view>

namespace cranberry {

/// Encodes all bytes but the unreserved characters of RFC 3986, so that the
/// result can stand in any part of a target.
std::string encodePercent(std::string_view Text);

/// Decodes percent escapes ("%xx"). Invalid escapes are left unchanged.
std::string decodePercent(std::string_view Text);

/// \param Query Part of the target after "?".
/// \return Decoded values by decoded name; the last one wins if a name repeats.
/// "+" is decoded as a space.
std::map<std::string, std::string> parseQuery(std::string_view Query);

} // namespace cranberry

#endif
