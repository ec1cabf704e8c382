// SPDX-License-Identifier: MIT
// The usual answer time of a service, from which admission control tells an overload.
#include "pool_admission.h"

#include <doctest/doctest.h>

using namespace Robinrail;
using std::chrono::milliseconds;

namespace {

constexpr Duration Rejection = milliseconds(1);

// Records windows of answers that all took this long.
void recordWindows(UsualAnswerTime &usual, TimePoint &now, int count, Duration answerTime)
{
    for (int i = 0; i < count; ++i) {
        now += AdmissionWindow;
        usual.record(now, {MinWindowAnswers, 0, MinWindowAnswers * answerTime, {}, answerTime});
    }
}

// Records a window in which this many answers are rejections that were not recognized.
void recordMixedWindow(UsualAnswerTime &usual, TimePoint &now, std::uint32_t rejections, Duration answerTime)
{
    now += AdmissionWindow;
    usual.record(now, {MinWindowAnswers, 0, rejections * Rejection + (MinWindowAnswers - rejections) * answerTime, {}, Rejection});
}

} // namespace

// Guards against refusals for a minute after a restart during an overload: rejections by full targets were taken for usual answers
// (soak seed 5012).
TEST_CASE("usual answer time: samples that may contain rejections count only until the first one that does not")
{
    UsualAnswerTime usual;
    TimePoint now(std::chrono::hours(1));
    recordMixedWindow(usual, now, 5, milliseconds(40));
    CHECK(usual.get() < milliseconds(20));
    for (int i = 0; i < 6; ++i) {
        recordMixedWindow(usual, now, 5, milliseconds(40));
    }
    CHECK(usual.get() < milliseconds(20));
    recordWindows(usual, now, 12, milliseconds(40));
    CHECK(usual.get() == milliseconds(40));
    recordWindows(usual, now, 12, milliseconds(36));
    CHECK(usual.get() == milliseconds(36));
}

// Guards against a usual time that follows the load instead of the service.
TEST_CASE("usual answer time: the lowest of the samples counts")
{
    UsualAnswerTime usual;
    TimePoint now(std::chrono::hours(1));
    for (const int time : {60, 36, 50}) {
        recordWindows(usual, now, 6, milliseconds(time));
    }
    CHECK(usual.get() == milliseconds(36));
}
