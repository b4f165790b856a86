#include "app/internal/commands.h"

//! Options of jemalloc, which reads this variable. Blocks above 256 KiB, such as the buffers of long requests, are
//! returned to the system as soon as they are freed. Otherwise each size through which such a buffer has grown stays
//! resident for 10 s.
extern "C" {
const char* malloc_conf = "oversize_threshold:262144"; // NOLINT(readability-identifier-naming): its name
}

int main(int argc, char** argv)
{
    return sardinerun::app::runProgram({ argv + 1, argv + argc });
}
