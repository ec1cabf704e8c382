// SPDX-License-Identifier: MIT
// Load command: fetches the metrics of steering balancers and prints a load report.
#pragma once

#include "operator_commands.h"

#include <boost/leaf/result.hpp>

namespace Robinrail {

// robinrail load: returns the exit code; ExitUnreachable if any balancer gave no usable answer.
boost::leaf::result<int> runLoadCommand(const CommandArguments &arguments);

} // namespace Robinrail
