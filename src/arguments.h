// SPDX-License-Identifier: MIT
// Arguments: command line parsing with docopt, and the documented exit codes.
#pragma once

#include "version.h"

#include <docopt/docopt.h>

#include <cstdlib>
#include <iostream>

namespace Robinrail {

// Parses the arguments. Prints help or version and exits with 0, or prints the error and exits with 2.
inline std::map<std::string, docopt::value> parseArguments(const char *usage, int argc, char **argv)
{
    constexpr int ExitUsage = 2;
    try {
        return docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, true);
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        std::exit(0);
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << VersionText << '\n';
        std::exit(0);
    } catch (const docopt::DocoptArgumentError &error) {
        std::cerr << error.what() << "; see --help\n";
        std::exit(ExitUsage);
    }
}

} // namespace Robinrail
