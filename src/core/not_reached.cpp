/// \file not_reached.cpp Aborts on code that must be unreachable.
#include "core/not_reached_func.h"

#include <cstdio>
#include <cstdlib>

void cranberry::notReached(const char *File, int Line) {
  std::fprintf(stderr, "NOT_REACHED at %s:%d\n", File, Line);
  std::abort();
}
