// SPDX-License-Identifier: MIT
// Operator call: one call of a stand-in operator, which follows redirections to the leader.
#pragma once

#include "http.h"

namespace Robinrail::Soak {

// Statuses of answers.
inline constexpr unsigned Ok = 200;
inline constexpr unsigned TemporaryRedirect = 307;

// A call without a clear answer is made again after a pause that doubles from the first to the longest.
inline constexpr Duration FirstRetryDelay = std::chrono::milliseconds(50);
inline constexpr Duration MaxRetryDelay = std::chrono::milliseconds(800);

// Calls a replica, and the one that it redirects to, twice at most.
void callLeader(boost::asio::io_context &io, Endpoint replica, const HttpRequest &request, const HttpDone &done, int redirects = 0);

} // namespace Robinrail::Soak
