// SPDX-License-Identifier: MIT
// The part of the platform that starts processes again, by the commands of the deploy file and the settings that run.sh wrote.
#pragma once

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <unistd.h>

namespace Review {

// `name`: of the settings file in the work folder, without its ending.
inline pid_t startAgain(const std::string &folder, const std::string &name, const std::string &program)
{
    const std::string settings = folder + "/" + name + ".json";
    const std::string log = folder + "/" + name + ".log";
    const pid_t child = ::fork();
    if (child == 0) {
        if (std::freopen(log.c_str(), "a", stdout) != nullptr) {
            ::dup2(::fileno(stdout), STDERR_FILENO);
        }
        ::setenv("ROBINRAIL_CONFIG", settings.c_str(), 1);
        ::execl(program.c_str(), program.c_str(), static_cast<char *>(nullptr));
        ::_exit(127);
    }
    std::ofstream(folder + "/pids", std::ios::app) << child << '\n'; // run.sh ends what is still running.
    return child;
}

} // namespace Review
