// SPDX-License-Identifier: MIT
// Small components: request window, answer assembly, fair queue, retry budget, answer cache, datagram guard, metrics, log output.
#include "answer_assembly.h"
#include "answer_cache.h"
#include "datagram_authenticator.h"
#include "fair_queue.h"
#include "flow_table.h"
#include "metrics.h"
#include "retry_budget.h"

#include "non_blocking_line_buffer.h"

#include <doctest/doctest.h>

#include <ostream>
#include <pcg_random.hpp>
#include <unistd.h>

#include <set>

using namespace Robinrail;

TEST_CASE("a request window accepts every id at most once, in any order")
{
    pcg64 random(3);
    RequestWindow window;
    std::set<std::uint32_t> taken;
    for (int i = 0; i < 100'000; ++i) {
        const auto id = static_cast<std::uint32_t>(1 + i / 3 + random() % 100);
        if (window.record(RequestId{id}) == RequestAge::Fresh) {
            CHECK(taken.insert(id).second);
        }
    }
    CHECK(taken.size() > 20'000);
    CHECK(window.lookUp(RequestId{window.highest()}) == RequestAge::Seen);
    CHECK(window.lookUp(RequestId{window.highest() - 64}) == RequestAge::BelowWindow);
}

TEST_CASE("a request window keeps its state over a handover")
{
    RequestWindow window;
    window.record(RequestId{5});
    window.record(RequestId{3});
    RequestWindow copy(window.highest(), window.bits());
    CHECK(copy.record(RequestId{3}) == RequestAge::Seen);
    CHECK(copy.record(RequestId{4}) == RequestAge::Fresh);
}

TEST_CASE("an answer is complete only with all parts, in any order, each once")
{
    AnswerAssembly assembly;
    CHECK(assembly.add(2, 3, {2}) == PartEffect::Accepted);
    CHECK(assembly.add(2, 3, {9}) == PartEffect::Ignored);
    CHECK(assembly.add(0, 4, {9}) == PartEffect::Ignored);
    CHECK(assembly.add(3, 3, {9}) == PartEffect::Ignored);
    CHECK(assembly.add(0, 3, {0}) == PartEffect::Accepted);
    CHECK(assembly.add(1, 3, {1}) == PartEffect::Completed);
    CHECK(assembly.parts() == std::vector<Bytes>{{0}, {1}, {2}});
    CHECK(AnswerAssembly().add(0, 0, {}) == PartEffect::Ignored);
    CHECK(AnswerAssembly().add(0, MaxAnswerParts + 1, {}) == PartEffect::Ignored);
}

TEST_CASE("callers are served round robin, and overload evicts the newest request of the longest queue")
{
    FairQueue<int> queue;
    for (int i = 0; i < 5; ++i) {
        queue.push(1, i);
    }
    queue.push(2, 100);
    CHECK(queue.evictFor(3) == 4);
    CHECK_FALSE(queue.evictFor(1));
    CHECK(queue.pop() == 0);
    CHECK(queue.pop() == 100);
    queue.pushFront(2, 100);
    CHECK(queue.pop() == 100);
    CHECK(queue.pop() == 1);
    CHECK(queue.size() == 2);
}

TEST_CASE("retries stay within the budgeted fraction of the requests")
{
    RetryBudget budget(0.1, 5);
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.recordRequest();
        retries += budget.tryConsume() ? 1 : 0;
    }
    CHECK(retries <= 105);
    CHECK(retries >= 95);
}

TEST_CASE("final answers are cached until they expire")
{
    AnswerCache cache;
    const TimePoint start{std::chrono::seconds(100)};
    const RequestKey key{FlowId{1}, RequestId{2}};
    cache.insert(start, key, {Refusal{}});
    CHECK(cache.find(key).size() == 1);
    cache.expire(start + AnswerCacheTime - Duration(1));
    CHECK(cache.size() == 1);
    cache.expire(start + AnswerCacheTime);
    CHECK(cache.find(key).empty());
}

TEST_CASE("datagrams are accepted once, only with the cluster key, and not from an older incarnation")
{
    const ClusterKey key{1};
    DatagramAuthenticator old(key, {BalancerId{1}, Incarnation{1}});
    DatagramAuthenticator sender(key, {BalancerId{1}, Incarnation{2}});
    DatagramAuthenticator stranger({2}, {BalancerId{1}, Incarnation{3}});
    DatagramAuthenticator receiver(key, {BalancerId{2}, Incarnation{1}});
    const Bytes payload{1, 2, 3};
    const Bytes first = sender.seal(payload);
    const Bytes second = sender.seal(payload);
    CHECK(receiver.open(second));
    CHECK(receiver.open(first));
    CHECK_FALSE(receiver.open(first));
    CHECK_FALSE(receiver.open(old.seal(payload)));
    CHECK_FALSE(receiver.open(stranger.seal(payload)));
    Bytes changed = sender.seal(payload);
    changed[20] ^= 1;
    CHECK_FALSE(receiver.open(changed));
    CHECK_FALSE(receiver.open(Bytes(5)));
}

TEST_CASE("a replay window accepts each number at most once")
{
    pcg64 random(5);
    ReplayWindow window;
    std::set<std::uint64_t> taken;
    for (int i = 1; i < 50'000; ++i) {
        const std::uint64_t number = static_cast<std::uint64_t>(i) + random() % 3000;
        if (window.accept(number)) {
            CHECK(taken.insert(number).second);
        }
    }
    CHECK(window.accept(1'000'000));
    CHECK_FALSE(window.accept(1));
}

TEST_CASE("a latency histogram estimates quantiles")
{
    LatencyHistogram histogram;
    CHECK(histogram.quantile(0.5) == Duration(0));
    for (int i = 1; i <= 1000; ++i) {
        histogram.record(std::chrono::milliseconds(i));
    }
    CHECK(histogram.quantile(0.5) > std::chrono::milliseconds(480));
    CHECK(histogram.quantile(0.5) < std::chrono::milliseconds(560));
    CHECK(histogram.count() == 1000);
}

TEST_CASE("a log without a reader drops lines and never blocks")
{
    int ends[2] = {};
    REQUIRE(::pipe(ends) == 0);
    NonBlockingLineBuffer output(ends[1]);
    std::ostream stream(&output);
    constexpr int Lines = 5000;
    for (int i = 0; i < Lines; ++i) {
        stream << "line " << i << " of many that nobody reads" << std::endl;
    }
    CHECK(output.dropped() > 0);
    CHECK(output.dropped() < Lines);
    char first[7] = {};
    REQUIRE(::read(ends[0], first, sizeof(first) - 1) == sizeof(first) - 1);
    CHECK(std::string(first) == "line 0");
    ::close(ends[0]);
    ::close(ends[1]);
}
