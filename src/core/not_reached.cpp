/// \file not_reached.cpp Marks code that can't be reached.
#include "core/not_reached_func.h"

#include <cstdio>
#include <cstdlib>

void cranberry::notReached(const char *File, int Line) {
  std::fprintf(stderr, "NOT_REACHED at %s:%d\n", File, Line);
  std::abort();
}
