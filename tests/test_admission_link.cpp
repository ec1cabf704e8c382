// SPDX-License-Identifier: MIT
// Link load in admission control: the balancer's own link keeps a reserve for open flows.
#include "admission_model.h"

#include <doctest/doctest.h>

#include <cmath>
#include <random>
#include <string>
#include <utility>

using namespace Robinrail;
using namespace Robinrail::AdmissionModel;

TEST_CASE("admission: a link at twice its capacity keeps a reserve for open flows")
{
    // Load: flows of 1.3 KB at twice the capacity of a link of 250 KB/s, urgent and normal ones. Guards against a full link, which
    // loses packets of open flows, and against urgent flows that are refused with the others.
    constexpr double Capacity = 250'000;
    constexpr double FlowBytes = 1300;
    constexpr double Rate = 2 * Capacity / FlowBytes;
    // Three quarters of the flows that the link can take without its reserve; the less urgent ones use the rest.
    constexpr double UrgentShare = 0.75 * MaxLinkShare * Capacity / FlowBytes / Rate;
    AdmissionControl control(SingleBalancer::Here, Capacity);
    const std::vector<DataCentreId> usable = {SingleBalancer::Here};
    pcg32 random(1);
    TimePoint now(std::chrono::hours(1));
    double urgentOffered = 0;
    double urgentAdmitted = 0;
    const auto run = [&](Duration length, double rate) {
        double bytes = 0;
        std::size_t refused = 0;
        for (const TimePoint end = now + length; now < end; now += Duration(std::llround(std::exponential_distribution(rate)(random) * 1e6))) {
            const bool urgent = random(10'000) < UrgentShare * 10'000;
            const AdmissionDecision decision = control.decide(now, Service, {urgent ? Urgent : Normal, milliseconds(400), {}}, random(), usable);
            const bool admitted = decision.verdict == AdmissionVerdict::Anywhere;
            CHECK(decision.verdict != AdmissionVerdict::RefusedByPools);
            bytes += admitted ? FlowBytes : 60;
            control.recordBytes(admitted ? 1300 : 60, admitted ? 1300 : 32);
            if (admitted) {
                control.recordAnswer(now, {Service, SingleBalancer::Here}, milliseconds(30));
            } else {
                refused++;
            }
            urgentOffered += urgent ? 1 : 0;
            urgentAdmitted += urgent && admitted ? 1 : 0;
            control.tick(now);
        }
        return std::pair(bytes / Capacity / std::chrono::duration<double>(length).count(), refused);
    };
    CHECK(run(seconds(10), Rate / 4).second == 0);
    run(seconds(1), Rate);
    urgentOffered = 0;
    urgentAdmitted = 0;
    for (int i = 0; i < 4; i++) {
        const double used = run(seconds(2), Rate).first;
        printFigure("link at twice its capacity, used share", used);
        CHECK(used <= MaxLinkShare + 0.05);
        CHECK(used >= MaxLinkShare - 0.15);
    }
    printFigure("link at twice its capacity, admitted share of urgent flows", urgentAdmitted / urgentOffered);
    CHECK(urgentAdmitted >= 0.95 * urgentOffered);
    run(seconds(2), Rate / 4);
    CHECK(run(seconds(4), Rate / 4).second == 0);
}
