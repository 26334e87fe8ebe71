/// \file http_target_func.h Parts of a request's target.
#ifndef CRANBERRY_NET_HTTP_TARGET_FUNC_H
#define CRANBERRY_NET_HTTP_TARGET_FUNC_H

#include <map>
#include <string>
#include <string_view>

namespace cranberry {

/// Replaces "%xx" by its byte; what is no escape stays as it is.
std::string decodePercent(std::string_view Text);

/// \param Query What follows "?" in a target.
/// \return Decoded values by decoded name, the last one where a name repeats;
/// "+" stands for a space.
std::map<std::string, std::string> parseQuery(std::string_view Query);

} // namespace cranberry

#endif
