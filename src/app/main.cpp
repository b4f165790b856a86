#include "app/internal/commands.h"

int main(int argc, char** argv)
{
    return sardinerun::app::runProgram({ argv + 1, argv + argc });
}
