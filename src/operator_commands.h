// SPDX-License-Identifier: MIT
// Operator commands: the subcommands of the `robinrail` command.
#pragma once

#include <docopt/docopt_value.h>

#include <map>
#include <string>

namespace Robinrail {

using CommandArguments = std::map<std::string, docopt::value>;

// Exit codes of the command; docs/API.md lists them.
inline constexpr int ExitOk = 0;
inline constexpr int ExitFailed = 1; // A check failed, or a watch timed out.
inline constexpr int ExitBadInput = 2;
inline constexpr int ExitUnreachable = 3;
inline constexpr int ExitRefused = 4;

// Runs the subcommand selected by the arguments, prints its result or error, and returns the exit code.
int runCommand(const CommandArguments &arguments);

} // namespace Robinrail
