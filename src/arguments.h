// SPDX-License-Identifier: MIT
// Arguments: docopt with the exit codes that the programs document.
#pragma once

#include "version.h"

#include <docopt/docopt.h>

#include <cstdlib>
#include <iostream>

namespace Robinrail {

// Parses the arguments; prints help or version and ends with 0, or says what is wrong and ends with 2.
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
