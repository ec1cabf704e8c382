// SPDX-License-Identifier: MIT
// The two reference deployments and the fault schedules shared by the benchmark and the tests.
#include "simulation.h"

namespace Robinrail {

SimulatedDeployment kathmandu()
{
    SimulatedDeployment deployment;
    deployment.services.push_back({ServiceId{1}, 14, 3, std::chrono::milliseconds(100), 1, false});
    deployment.services.push_back({ServiceId{2}, 4, 3, std::chrono::milliseconds(150), 5, true});
    return deployment;
}

SimulatedDeployment bogota()
{
    SimulatedDeployment deployment;
    deployment.dataCentres = 4;
    deployment.interDataCentreDelay = std::chrono::microseconds(500);
    deployment.callerDelay = std::chrono::milliseconds(1);
    deployment.services.push_back({ServiceId{1}, 14, 2, std::chrono::milliseconds(100), 1, false});
    deployment.services.push_back({ServiceId{2}, 4, 2, std::chrono::milliseconds(150), 5, true});
    return deployment;
}

void restartBalancersInTurn(SimulationOptions &options)
{
    using std::chrono::seconds;
    options.duration = seconds(125);
    for (int number = 1; number <= options.deployment.balancers; ++number) {
        options.faults.push_back({seconds(15 * (number - 1) + 2), FaultKind::StopBalancer, number});
        options.faults.push_back({seconds(15 * (number - 1) + 13), FaultKind::StartBalancer, number});
    }
}

void replaceTargetsInTurn(SimulationOptions &options)
{
    using std::chrono::seconds;
    options.duration = seconds(95);
    int targets = 0;
    for (const SimulatedService &service : options.deployment.services) {
        targets += service.targets;
    }
    for (int number = 1; number <= targets; ++number) {
        options.faults.push_back({seconds(5 * (number - 1) + 1), FaultKind::DrainTarget, number});
        options.faults.push_back({seconds(5 * (number - 1) + 5), FaultKind::KillTarget, number});
        options.faults.push_back({seconds(5 * (number - 1) + 6), FaultKind::StartTarget, number});
    }
}

void dropDuplicateAndDelay(SimulationOptions &options)
{
    options.drop = 0.1;
    options.duplicate = 0.1;
    options.delayed = 0.1;
}

void combineAllFaults(SimulationOptions &options)
{
    using std::chrono::seconds;
    dropDuplicateAndDelay(options);
    options.duration = seconds(60);
    options.faults = {{seconds(3), FaultKind::KillBalancer, 3},
                      {seconds(8), FaultKind::StopBalancer, 5},
                      {seconds(9), FaultKind::DrainTarget, 4},
                      {seconds(12), FaultKind::StartBalancer, 3},
                      {seconds(14), FaultKind::KillTarget, 4},
                      {seconds(15), FaultKind::FreezeBalancer, 1},
                      {seconds(22), FaultKind::UnfreezeBalancer, 1},
                      {seconds(24), FaultKind::IsolateDataCentre, 2},
                      {seconds(32), FaultKind::ReconnectDataCentre, 2},
                      {seconds(33), FaultKind::StartTarget, 4},
                      {seconds(36), FaultKind::KillBalancer, 8}};
}

} // namespace Robinrail
