// SPDX-License-Identifier: MIT
// Scaling measurement: memory, message size and processing time as a function of the number of targets, peers, flows,
// services and versions, each at four sizes with a least-squares line and its largest error. docs/CAPACITY.md
// extrapolates from these lines.
#include "balancer_core.h"
#include "bundle.h"
#include "control_state.h"
#include "datagram_authenticator.h"
#include "hash.h"
#include "rollout.h"

#include <sodium.h>

#include <cmath>
#include <functional>
#include <iomanip>
#include <iostream>
#include <malloc.h>

using namespace Robinrail;
using Clock = std::chrono::steady_clock;

namespace {

const TimePoint Start{std::chrono::hours(1)};

struct Point {
    double size = 0;
    double cost = 0;
};

// cost = intercept + slope * size. The error is the largest deviation of a point, relative to the largest cost.
struct Line {
    double intercept = 0;
    double slope = 0;
    double error = 0;
};

Line fitLine(const std::vector<Point> &points)
{
    double sumX = 0;
    double sumY = 0;
    double sumXx = 0;
    double sumXy = 0;
    double highest = 0;
    for (const Point &point : points) {
        sumX += point.size;
        sumY += point.cost;
        sumXx += point.size * point.size;
        sumXy += point.size * point.cost;
        highest = std::max(highest, point.cost);
    }
    const auto count = static_cast<double>(points.size());
    Line line;
    line.slope = (count * sumXy - sumX * sumY) / (count * sumXx - sumX * sumX);
    line.intercept = (sumY - line.slope * sumX) / count;
    for (const Point &point : points) {
        line.error = std::max(line.error, std::abs(line.intercept + line.slope * point.size - point.cost) / highest);
    }
    return line;
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks + mallinfo2().hblkhd;
}

// Microseconds per call: the minimum over several batches, as other load on the machine only adds time.
double minMicrosecondsPerCall(const std::function<void()> &action, int calls)
{
    constexpr int Batches = 7;
    double best = 1e300;
    for (int batch = 0; batch < Batches; ++batch) {
        const auto started = Clock::now();
        for (int call = 0; call < calls; ++call) {
            action();
        }
        const std::chrono::duration<double, std::micro> took = Clock::now() - started;
        best = std::min(best, took.count() / calls);
    }
    return best;
}

void report(const char *name, const char *unit, const char *per, const std::vector<double> &sizes, const std::function<double(double)> &measure)
{
    std::vector<Point> points;
    points.reserve(sizes.size());
    for (const double size : sizes) {
        points.push_back({size, measure(size)});
    }
    const Line line = fitLine(points);
    std::cout << std::left << std::setw(44) << name << std::right << std::setprecision(5);
    for (const Point &point : points) {
        std::cout << std::setw(11) << point.cost;
    }
    std::cout << "  = " << std::setprecision(4) << line.intercept << " + " << line.slope << " " << unit << " per " << per << ", error " << std::setprecision(2)
              << 100 * line.error << "%\n";
}

Announcement makeAnnouncement(std::uint32_t id, std::uint64_t sequence)
{
    Announcement announcement;
    announcement.target = TargetId{id};
    announcement.service = ServiceId{static_cast<std::uint16_t>(id % 100 + 1)};
    announcement.dataCentre = DataCentreId{1};
    announcement.endpoint = {id, 9000};
    announcement.incarnation = Incarnation{1'700'000'000'000};
    announcement.sequence = sequence;
    announcement.slots = 3;
    announcement.connections = 2000;
    return announcement;
}

BalancerSettings makeSettings(std::uint16_t peers)
{
    BalancerSettings settings;
    settings.self = {BalancerId{1}, Incarnation{1'700'000'000'000}};
    settings.connectionIdKeys = {{1, {1}}};
    for (std::uint16_t id = 1; id <= peers + 1; ++id) {
        settings.peers.push_back({BalancerId{id}, {id, 5000}});
    }
    return settings;
}

Heartbeat makeHeartbeat(std::uint16_t id, std::uint64_t counter)
{
    Heartbeat heartbeat;
    heartbeat.sender = {BalancerId{id}, Incarnation{1'700'000'000'000}};
    heartbeat.dataCentre = DataCentreId{1};
    heartbeat.counter = counter;
    heartbeat.bundleVersion = 7600;
    return heartbeat;
}

std::unique_ptr<BalancerCore<PartitionedSlots>> makeBalancer(std::uint16_t peers, std::uint32_t targets)
{
    auto core = std::make_unique<BalancerCore<PartitionedSlots>>(makeSettings(peers));
    for (std::uint16_t id = 2; id <= peers + 1; ++id) {
        core->handlePeer(Start, {id, 5000}, makeHeartbeat(id, 1));
    }
    for (std::uint32_t id = 1; id <= targets; ++id) {
        core->context().targets.announce(Start, makeAnnouncement(id, 1));
    }
    core->takeOutbox();
    return core;
}

std::string makeBundleText(int services)
{
    std::string text = R"({"formatVersion": 1, "dataCentres": [{"id": 1, "name": "a"}], "policy": {"approvals": 1}, "services": [)";
    for (int id = 1; id <= services; ++id) {
        text += (id > 1 ? ", " : "") + std::string(R"({"id": )") + std::to_string(id) + R"(, "name": "service-)" + std::to_string(id)
            + R"(", "maxQueueDelayMs": 250})";
    }
    return text + "]}";
}

// ---- A balancer ----

void measureBalancer()
{
    report("heap of held flows", "bytes", "flow", {100e3, 200e3, 300e3, 400e3}, [](double size) {
        const std::size_t before = heapBytes();
        FlowTable table;
        for (std::uint64_t flow = 1; flow <= static_cast<std::uint64_t>(size); ++flow) {
            table.insert(FlowId{hashPair(flow, 1)}, Flow{});
        }
        return static_cast<double>(heapBytes() - before);
    });
    report("heap of known targets", "bytes", "target", {1000, 2000, 4000, 8000}, [](double size) {
        const std::size_t before = heapBytes();
        TargetTable table;
        for (std::uint32_t id = 1; id <= static_cast<std::uint32_t>(size); ++id) {
            table.announce(Start, makeAnnouncement(id, 1));
        }
        return static_cast<double>(heapBytes() - before);
    });
    report("taking one announcement", "us", "known target", {1000, 2000, 4000, 8000}, [](double size) {
        const auto core = makeBalancer(7, static_cast<std::uint32_t>(size));
        std::uint64_t sequence = 1;
        return minMicrosecondsPerCall(
            [&] {
                core->handleTarget(Start, {1, 9000}, makeAnnouncement(1, ++sequence));
            },
            2000);
    });
    report("one tick (50 a second), nothing changed", "us", "known target", {1000, 2000, 4000, 8000}, [](double size) {
        const auto core = makeBalancer(7, static_cast<std::uint32_t>(size));
        core->tick(Start);
        TimePoint now = Start + SlowStartTime + std::chrono::seconds(1);
        core->tick(now);
        return minMicrosecondsPerCall(
            [&] {
                now += Duration(1);
                core->tick(now);
                core->takeOutbox();
            },
            100);
    });
    report("dealing slots after a change", "us", "known target", {1000, 2000, 4000, 8000}, [](double size) {
        const auto core = makeBalancer(100, static_cast<std::uint32_t>(size));
        std::uint64_t incarnation = 1'700'000'000'000;
        return minMicrosecondsPerCall(
            [&] {
                Announcement restarted = makeAnnouncement(1, 1);
                restarted.incarnation = Incarnation{++incarnation};
                core->context().targets.announce(Start, restarted);
                core->tick(Start);
                core->takeOutbox();
            },
            50);
    });
    report("heartbeats of one interval, sealed", "bytes", "peer", {7, 50, 100, 200}, [](double size) {
        const auto core = makeBalancer(static_cast<std::uint16_t>(size), 0);
        core->tick(Start);
        double bytes = 0;
        for (const Outgoing &outgoing : core->takeOutbox()) {
            bytes += static_cast<double>(encodeMessage(outgoing.message).size() + DatagramAuthOverhead);
        }
        return bytes;
    });
    report("making and sealing those heartbeats", "us", "peer", {7, 50, 100, 200}, [](double size) {
        const auto core = makeBalancer(static_cast<std::uint16_t>(size), 0);
        DatagramAuthenticator guard(ClusterKey{1}, {BalancerId{1}, Incarnation{1}});
        TimePoint now = Start;
        return minMicrosecondsPerCall(
            [&] {
                now += HeartbeatInterval;
                for (std::uint16_t id = 2; id <= static_cast<std::uint16_t>(size) + 1; ++id) {
                    core->context().peers.recordAlive(now, {BalancerId{id}, Incarnation{1'700'000'000'000}});
                }
                core->tick(now);
                for (const Outgoing &outgoing : core->takeOutbox()) {
                    guard.seal(encodeMessage(outgoing.message));
                }
            },
            20);
    });
    report("renewals in one heartbeat", "bytes", "target", {5, 10, 20, 40}, [](double size) {
        Heartbeat heartbeat = makeHeartbeat(2, 1);
        const std::size_t empty = encodeMessage(Message(heartbeat)).size();
        for (std::uint32_t id = 1; id <= static_cast<std::uint32_t>(size); ++id) {
            heartbeat.renewals.push_back({TargetId{50'000 + id}, 60'000, 100'000, 1500});
        }
        return static_cast<double>(encodeMessage(Message(heartbeat)).size() - empty);
    });
    report("opening and taking heartbeats", "us", "heartbeat", {10, 20, 40, 80}, [](double size) {
        const auto core = makeBalancer(1, 0);
        const ClusterKey key{1};
        DatagramAuthenticator sender(key, {BalancerId{2}, Incarnation{1'700'000'000'000}});
        DatagramAuthenticator receiver(key, {BalancerId{1}, Incarnation{1}});
        std::uint64_t counter = 1;
        return minMicrosecondsPerCall(
            [&] {
                for (int i = 0; i < static_cast<int>(size); ++i) {
                    const Bytes sealed = sender.seal(encodeMessage(Message(makeHeartbeat(2, ++counter))));
                    const auto opened = receiver.open(sealed);
                    core->handlePeer(Start, {2, 5000}, *decodeMessage<Message>(opened->payload));
                }
            },
            20);
    });
    report("relaying packets, both ends", "us", "packet", {10, 20, 40, 80}, [](double size) {
        const Bytes request = encodeMessage(Message(Request{{}, RequestId{1}, false, std::chrono::seconds(1), Bytes(64)}));
        return minMicrosecondsPerCall(
            [&] {
                for (int i = 0; i < static_cast<int>(size); ++i) {
                    const auto message = decodeMessage<Message>(request);
                    const Bytes relayed = encodeMessage(Message(RelayedPacket{{}, ServiceId{1}, {}, 1, 0, encodeMessage(*message)}));
                    const auto taken = decodeMessage<Message>(relayed);
                    decodeMessage<Message>(std::get<RelayedPacket>(*taken).packet);
                }
            },
            20);
    });
}

// ---- Control ----

void measureControl()
{
    const KeyPair pair = generateKeyPair();
    const auto makeState = [&pair](int versions) {
        ControlState state;
        state.apply(Genesis{{{"first", pair.publicKey, OperatorRole::Administrator, false}}});
        for (int version = 0; version < versions; ++version) {
            ChangeId id{};
            randombytes_buf(id.data(), id.size());
            state.apply(makeChange(id, "first", ProposeBundle{static_cast<std::uint64_t>(version), makeBundleText(2)}, pair.secretKey));
        }
        return state;
    };
    report("snapshot of the control state", "bytes", "change", {500, 1000, 2000, 4000}, [&](double size) {
        return static_cast<double>(makeState(static_cast<int>(size)).serialize().size());
    });
    report("heap of the control state", "bytes", "change", {500, 1000, 2000, 4000}, [&](double size) {
        const std::size_t before = heapBytes();
        const ControlState state = makeState(static_cast<int>(size));
        return static_cast<double>(heapBytes() - before) + (state.latestVersion() == 0 ? 1 : 0);
    });
    report("taking a snapshot", "us", "change", {500, 1000, 2000, 4000}, [&](double size) {
        const ControlState state = makeState(static_cast<int>(size));
        return minMicrosecondsPerCall(
            [&] {
                state.serialize();
            },
            1);
    });
    report("bundle text", "bytes", "service", {10, 100, 500, 1000}, [](double size) {
        return static_cast<double>(makeBundleText(static_cast<int>(size)).size());
    });
    report("checking a bundle", "us", "service", {10, 100, 500, 1000}, [](double size) {
        const std::string text = makeBundleText(static_cast<int>(size));
        JsonError fault;
        return minMicrosecondsPerCall(
            [&] {
                parseBundle(text, fault);
            },
            2);
    });
    const auto makeVersions = [](double size) {
        std::pair<BundleVersion, BundleVersion> versions;
        versions.first.version = 1;
        versions.first.text = makeBundleText(static_cast<int>(size));
        versions.second.version = 2;
        versions.second.text = versions.first.text;
        versions.second.text.replace(versions.second.text.find("250"), 3, "300");
        return versions;
    };
    report("delta of one changed service", "bytes", "service", {10, 100, 500, 1000}, [&](double size) {
        const auto versions = makeVersions(size);
        return static_cast<double>(encodeMessage(std::variant<BundleOffer>(makeOffer(&versions.first, versions.second, {}))).size());
    });
    report("making a delta", "us", "service", {10, 100, 500, 1000}, [&](double size) {
        const auto versions = makeVersions(size);
        return minMicrosecondsPerCall(
            [&] {
                makeOffer(&versions.first, versions.second, {});
            },
            2);
    });
    report("applying a delta at a balancer", "us", "service", {10, 100, 500, 1000}, [&](double size) {
        const auto versions = makeVersions(size);
        const BundleOffer offer = makeOffer(&versions.first, versions.second, {});
        RolloutAgent agent;
        agent.applyOffer(makeOffer(nullptr, versions.first, {}));
        return minMicrosecondsPerCall(
            [&] {
                RolloutAgent copy = agent;
                copy.applyOffer(offer);
            },
            2);
    });
}

} // namespace

int main()
{
    if (sodium_init() < 0) {
        return 1;
    }
    measureBalancer();
    measureControl();
    return 0;
}
