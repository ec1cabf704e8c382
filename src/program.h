// SPDX-License-Identifier: MIT
// Program: error messages and exit codes that the main functions of the daemons share.
#pragma once

#include "durable_file.h"
#include "raft_storage.h"
#include "settings.h"

#include <boost/leaf/handle_errors.hpp>

#include <iostream>
#include <system_error>

namespace Robinrail {

// Exit codes, as documented in the usage texts of the daemons.
inline constexpr int ExitFailed = 1;
inline constexpr int ExitInvalidSettings = 2;
inline constexpr int ExitDataFolderRefused = 3;

// Runs a function that returns its exit code as leaf::result<int>. Prints an error and converts it to an exit code.
template<typename Run>
int runProgram(Run run)
{
    return boost::leaf::try_handle_all(
        run,
        [](const SettingsFault &fault) {
            std::cerr << fault.text() << '\n';
            return ExitInvalidSettings;
        },
        [](StorageError, const StorageContext &context) {
            std::cerr << context.file << ": " << context.detail << '\n';
            return ExitDataFolderRefused;
        },
        [](const FileErrorContext &context) {
            std::cerr << context.path << ": " << std::generic_category().message(context.errorNumber) << '\n';
            return ExitFailed;
        },
        [](const boost::leaf::error_info &info) {
            std::cerr << "failed: unexpected error " << info.error() << '\n';
            return ExitFailed;
        });
}

} // namespace Robinrail
