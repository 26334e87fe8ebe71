/// \file not_reached_func.h Marks code that can't be reached.
#ifndef CRANBERRY_CORE_NOT_REACHED_FUNC_H
#define CRANBERRY_CORE_NOT_REACHED_FUNC_H

namespace cranberry {

/// Ends the process with the place of the broken assumption.
[[noreturn]] void notReached(const char *File, int Line);

} // namespace cranberry

#define NOT_REACHED() ::cranberry::notReached(__FILE__, __LINE__)

#endif
