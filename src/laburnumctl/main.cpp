// laburnumctl: the operators' command line.

#include <iostream>
#include <thread>

#include "commands.h"
#include "exit_codes.h"

int main(int argc, char** argv)
{
    using namespace laburnum;
    const auto options = ctl::parseOptions(argc, argv);
    if (!options) {
        std::cerr << "laburnumctl: " << options.error().message << '\n';
        return ctl::ExitUsage;
    }
    const SteadyClock clock;
    const ctl::TimeSource time { clock, [](Duration d) { std::this_thread::sleep_for(d); } };
    return ctl::runCommand(*options, std::cout, std::cerr, time);
}
