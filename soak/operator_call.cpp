// SPDX-License-Identifier: MIT
// Operator call: implementation.
#include "operator_call.h"

#include "settings.h"

namespace Robinrail::Soak {

namespace {

constexpr std::chrono::milliseconds CallTimeout{1000};
constexpr int MaxHttpRedirects = 2;

} // namespace

void callReplica(boost::asio::io_context &io, Endpoint replica, const HttpRequest &request, const HttpCallback &done, int redirects)
{
    startHttpRequest(io, replica, request, CallTimeout, [&io, request, redirects, done](const std::optional<HttpResponse> &reply) {
        constexpr std::string_view Scheme = "http://";
        if (reply && reply->status == TemporaryRedirect && redirects < MaxHttpRedirects && reply->location.starts_with(Scheme)) {
            const std::string place = reply->location.substr(Scheme.size());
            if (const std::optional<Endpoint> leader = parseEndpoint(place.substr(0, place.find('/')))) {
                return callReplica(io, *leader, request, done, redirects + 1);
            }
        }
        done(reply);
    });
}

} // namespace Robinrail::Soak
