// SPDX-License-Identifier: MIT
// Soak under overload: slots of simulated targets, and the checks of admission order and of targets that are declared gone.
#include "gone_target_checker.h"

#include <doctest/doctest.h>

using namespace Robinrail;
using namespace Robinrail::Soak;

namespace {

const TimePoint Start(std::chrono::hours(1));
constexpr std::uint32_t Balancer = 0x7f5a0201;
constexpr std::uint32_t OtherBalancer = 0x7f5a0202;

TimePoint at(int milliseconds)
{
    return Start + std::chrono::milliseconds(milliseconds);
}

} // namespace

TEST_CASE("a target processes one request per slot, queues some, and rejects the others")
{
    SlotSchedule schedule(2, 2);
    CHECK(schedule.add(at(0), milliseconds(40)) == at(40));
    CHECK(schedule.add(at(0), milliseconds(60)) == at(60));
    CHECK(schedule.add(at(10), milliseconds(40)) == at(80));
    CHECK(schedule.add(at(10), milliseconds(40)) == at(100));
    CHECK_FALSE(schedule.add(at(39), milliseconds(40)));
    CHECK(schedule.add(at(40), milliseconds(40)) == at(120)); // The first one of the queue has started.
    CHECK(schedule.add(at(200), milliseconds(40)) == at(240));
}

// Guards against a check that can't fail.
TEST_CASE("a refusal between two admissions of less urgent flows to the same service breaks the order of admission")
{
    Violations violations;
    AdmissionOrderChecker checker(violations);
    checker.recordAdmission(at(0), Balancer, BulkRoute);
    checker.recordRefusal(at(60), Balancer, FirstRoute);
    checker.recordAdmission(at(120), Balancer, BulkRoute);
    CHECK(violations.count() == 1);
    CHECK(checker.urgentRefusals() == 1);
}

// Guards against reports on a correct balancer, which changes the shares of its priorities once per window.
TEST_CASE("a change between two windows keeps the order of admission")
{
    Violations violations;
    AdmissionOrderChecker checker(violations);
    SUBCASE("admissions before a refusal only")
    {
        checker.recordAdmission(at(0), Balancer, BulkRoute);
        checker.recordAdmission(at(40), Balancer, BulkRoute);
        checker.recordRefusal(at(100), Balancer, FirstRoute);
    }
    SUBCASE("admissions of two windows")
    {
        checker.recordAdmission(at(0), Balancer, BulkRoute);
        checker.recordRefusal(at(100), Balancer, FirstRoute);
        checker.recordAdmission(at(201), Balancer, BulkRoute);
    }
    SUBCASE("a refusal that may have been read too late")
    {
        checker.recordAdmission(at(0), Balancer, BulkRoute);
        checker.recordRefusal(at(100), Balancer, FirstRoute);
        checker.recordAdmission(at(140), Balancer, BulkRoute);
    }
    SUBCASE("the soak was delayed")
    {
        checker.recordAdmission(at(0), Balancer, BulkRoute);
        checker.recordRefusal(at(60), Balancer, FirstRoute);
        checker.tick(at(115));
        checker.recordAdmission(at(120), Balancer, BulkRoute);
    }
    SUBCASE("less urgent flows are refused")
    {
        checker.recordAdmission(at(0), Balancer, FirstRoute);
        checker.recordRefusal(at(60), Balancer, BulkRoute);
        checker.recordAdmission(at(120), Balancer, FirstRoute);
    }
    SUBCASE("other balancers and services")
    {
        checker.recordAdmission(at(0), Balancer, BulkRoute);
        checker.recordRefusal(at(60), OtherBalancer, FirstRoute);
        checker.recordRefusal(at(60), Balancer, SecondRoute);
        checker.recordAdmission(at(120), Balancer, BulkRoute);
    }
    CHECK(violations.count() == 0);
}

TEST_CASE("the targets that a balancer declares gone are read from its log")
{
    std::istringstream log("I ready version=3\nI target-gone target=77 replica=127.90.1.1:0\nI target-gone target=281474976710655 replica=x\n");
    CHECK(parseGoneTargets(log) == std::vector{TargetKey{77}, TargetKey{281474976710655}});
}
