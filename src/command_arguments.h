// SPDX-License-Identifier: MIT
// Command arguments: access to the parsed arguments of the `robinrail` command.
#pragma once

#include "operator_commands.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>

namespace Robinrail {

// An error that ends the command with ExitBadInput.
boost::leaf::error_id badInput(std::string text);

// Whether an option, argument or subcommand is given.
bool hasArgument(const CommandArguments &arguments, const std::string &name);

std::string stringArgument(const CommandArguments &arguments, const std::string &name, const std::string &fallback = {});

boost::leaf::result<std::uint64_t> numberArgument(const CommandArguments &arguments, const std::string &name);

} // namespace Robinrail
