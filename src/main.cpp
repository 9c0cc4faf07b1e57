// The one program: fescuenotch node | check | status | version | help.
#include "commands/commands.h"

#include <cstdio>
#include <string>
#include <vector>

int main(int argc, char **argv)
{
    using namespace Fescuenotch;
    const std::vector<std::string> args(argv + 1, argv + argc);
    return runCommand(args);
}
