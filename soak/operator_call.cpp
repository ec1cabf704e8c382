// SPDX-License-Identifier: MIT
// Operator call: implementation.
#include "operator_call.h"

#include "settings.h"

namespace Robinrail::Soak {

namespace {

constexpr std::chrono::milliseconds CallTimeout{1000};
constexpr int MaxRedirects = 2;

} // namespace

void callLeader(boost::asio::io_context &io, Endpoint replica, const HttpRequest &request, const HttpCallback &done, int redirects)
{
    startHttpRequest(io, replica, request, CallTimeout, [&io, request, redirects, done](const std::optional<HttpResponse> &reply) {
        constexpr std::string_view Scheme = "http://";
        if (reply && reply->status == TemporaryRedirect && redirects < MaxRedirects && reply->location.starts_with(Scheme)) {
            const std::string location = reply->location.substr(Scheme.size());
            if (const std::optional<Endpoint> leader = parseEndpoint(location.substr(0, location.find('/')))) {
                return callLeader(io, *leader, request, done, redirects + 1);
            }
        }
        done(reply);
    });
}

} // namespace Robinrail::Soak
