// SPDX-License-Identifier: MIT
// Program: the end of each daemon's main: what a failure prints, and the exit code that stands for it.
#pragma once

#include "durable_file.h"
#include "raft_storage.h"
#include "settings.h"

#include <boost/leaf/handle_errors.hpp>

#include <iostream>
#include <system_error>

namespace Robinrail {

// Exit codes of the daemons, as their usage texts document them.
inline constexpr int ExitFailed = 1;
inline constexpr int ExitBadSettings = 2;
inline constexpr int ExitBadFolder = 3;

// Runs a program, which returns leaf::result<int> with its exit code; a failure is printed and becomes one.
template<typename Run>
int runProgram(Run run)
{
    return boost::leaf::try_handle_all(
        run,
        [](const SettingsFault &fault) {
            std::cerr << fault.text() << '\n';
            return ExitBadSettings;
        },
        [](StorageError, const StorageContext &context) {
            std::cerr << context.file << ": " << context.detail << '\n';
            return ExitBadFolder;
        },
        [](const FileErrorContext &context) {
            std::cerr << context.path << ": " << std::generic_category().message(context.errorNumber) << '\n';
            return ExitFailed;
        },
        [](const boost::leaf::error_info &info) {
            std::cerr << "failed: error without context, " << info.error() << '\n';
            return ExitFailed;
        });
}

} // namespace Robinrail
