// SPDX-License-Identifier: MIT
// Operator call: an HTTP call of a simulated operator, which follows redirects to the leader.
#pragma once

#include "http.h"

namespace Robinrail::Soak {

// HTTP status codes.
inline constexpr unsigned Ok = 200;
inline constexpr unsigned TemporaryRedirect = 307;

// A call without a definite answer is retried after a delay that doubles from the first to the maximum.
inline constexpr Duration FirstRetryDelay = std::chrono::milliseconds(50);
inline constexpr Duration MaxRetryDelay = std::chrono::milliseconds(800);

// Calls a replica and follows at most two redirects; `redirects` counts those followed so far.
void callLeader(boost::asio::io_context &io, Endpoint replica, const HttpRequest &request, const HttpCallback &done, int redirects = 0);

} // namespace Robinrail::Soak
