// SPDX-License-Identifier: MIT
// Operator commands: what each verb of the `robinrail` command does.
#pragma once

#include <docopt/docopt_value.h>

#include <map>
#include <string>

namespace Robinrail {

using CommandArguments = std::map<std::string, docopt::value>;

// Exit codes of the command; docs/API.md lists them.
inline constexpr int ExitOk = 0;
inline constexpr int ExitFailed = 1; // A check or verification found something wrong.
inline constexpr int ExitBadInput = 2;
inline constexpr int ExitUnreachable = 3;
inline constexpr int ExitRefused = 4;

// Runs the verb that the arguments name and prints its result or error.
int runCommand(const CommandArguments &arguments);

} // namespace Robinrail
