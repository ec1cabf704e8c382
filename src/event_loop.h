// SPDX-License-Identifier: MIT
// Event loop: runs the handlers of a daemon until it stops.
#pragma once

#include <boost/asio/io_context.hpp>

namespace Robinrail {

// Runs the event loop until it is stopped or has no more work, and returns the exit code of the process. Input is validated
// where it is read and must not throw here. An exception that reaches the loop is a defect which may have left the state
// incomplete, so the process logs it and ends, to start again from its durable state.
int runEventLoop(boost::asio::io_context &io);

} // namespace Robinrail
