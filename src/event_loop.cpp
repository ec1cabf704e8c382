// SPDX-License-Identifier: MIT
// Event loop: implementation.
#include "event_loop.h"

#include "log.h"
#include "program.h"

#include <exception>

namespace Robinrail {

int runEventLoop(boost::asio::io_context &io)
{
    try {
        io.run();
        return 0;
    } catch (const std::exception &error) {
        LogLine(LogLevel::Error, "event-loop-failed").with("reason", std::string(error.what()));
    } catch (...) {
        LogLine(LogLevel::Error, "event-loop-failed").with("reason", "unknown exception");
    }
    return ExitFailed;
}

} // namespace Robinrail
