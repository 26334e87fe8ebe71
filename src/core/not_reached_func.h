/// \file not_reached_func.h Aborts on code that must be unreachable.
#ifndef CRANBERRY_CORE_NOT_REACHED_FUNC_H
#define CRANBERRY_CORE_NOT_REACHED_FUNC_H

namespace cranberry {

/// Prints the source location to stderr and aborts the process.
[[noreturn]] void notReached(const char *File, int Line);

} // namespace cranberry

#define NOT_REACHED() ::cranberry::notReached(__FILE__, __LINE__)

#endif
