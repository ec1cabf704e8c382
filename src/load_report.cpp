// SPDX-License-Identifier: MIT
// Load report: implementation.
#include "load_report.h"

#include "json_schema.h"
#include "prometheus_text.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <sstream>

namespace Robinrail {

using Json = nlohmann::json;

namespace {

// Builds a BalancerLoad from the samples of one text. The numbers of data centres are resolved once all names are known.
class LoadReader
{
public:
    void add(const PrometheusSample &sample)
    {
        const std::string_view name = sample.name;
        if (!std::isfinite(sample.number)) {
            return;
        }
        if (name == "robinrail_node_info") {
            m_load.node = label(sample, "node");
            m_load.dataCentre = label(sample, "data_centre");
        } else if (name == "robinrail_data_centre_info") {
            m_names[label(sample, "data_centre")] = label(sample, "name");
        } else if (name == "robinrail_steering_ready") {
            m_load.ready = sample.number > 0;
        } else if (name == "robinrail_link_used") {
            m_load.linkUsed = sample.number;
        } else if (name == "robinrail_link_limit") {
            m_load.linkLimit = limitOf(sample);
        } else if (name == "robinrail_link_arrivals") {
            m_load.linkArrivals = sample.number;
        } else if (name == "robinrail_targets_uncounted") {
            m_load.uncountedTargets = sample.number;
        } else if (name == "robinrail_new_flows_total") {
            addFlows(sample);
        } else {
            addPool(sample);
        }
    }

    BalancerLoad finish()
    {
        for (auto &[key, pool] : m_pools) {
            const auto name = m_names.find(key.dataCentre);
            m_load.pools.emplace(ServiceLocation{key.service, name != m_names.end() ? name->second : key.dataCentre}, pool);
        }
        return std::move(m_load);
    }

private:
    static std::string label(const PrometheusSample &sample, const char *name)
    {
        const auto at = sample.labels.find(name);
        return at != sample.labels.end() ? at->second : std::string();
    }

    static std::optional<double> limitOf(const PrometheusSample &sample)
    {
        return sample.number >= 0 ? std::optional(sample.number) : std::nullopt;
    }

    void addFlows(const PrometheusSample &sample)
    {
        const std::string priority = label(sample, "priority");
        int number = 0;
        std::from_chars(priority.data(), priority.data() + priority.size(), number);
        FlowCounts &flows = m_load.flows[{label(sample, "service"), number}];
        const std::string outcome = label(sample, "outcome");
        if (outcome == "admitted") {
            flows.admitted = sample.number;
        } else if (outcome == "refused-by-pools") {
            flows.refusedByPools = sample.number;
        } else if (outcome == "refused-by-link") {
            flows.refusedByLink = sample.number;
        }
    }

    void addPool(const PrometheusSample &sample)
    {
        const std::string_view name = sample.name;
        if (name == "robinrail_targets") {
            addByState(sample, &BalancerLoad::Pool::targets);
        } else if (name == "robinrail_target_slots") {
            addByState(sample, &BalancerLoad::Pool::slots);
        } else if (name == "robinrail_target_requests") {
            pool(sample).busy = sample.number;
        } else if (name == "robinrail_pool_limit") {
            pool(sample).limit = limitOf(sample);
        } else if (name == "robinrail_pool_arrivals") {
            pool(sample).arrivals = sample.number;
        }
    }

    void addByState(const PrometheusSample &sample, std::array<double, SteeredTargetStateCount> BalancerLoad::Pool::*counts)
    {
        const std::string state = label(sample, "state");
        for (std::size_t i = 0; i < SteeredTargetStateCount; ++i) {
            if (nameOf(static_cast<SteeredTargetState>(i)) == state) {
                (pool(sample).*counts)[i] = sample.number;
            }
        }
    }

    BalancerLoad::Pool &pool(const PrometheusSample &sample)
    {
        return m_pools[{label(sample, "service"), label(sample, "data_centre")}];
    }

    BalancerLoad m_load;
    std::map<ServiceLocation, BalancerLoad::Pool> m_pools; // Data centres by their numbers.
    std::map<std::string, std::string> m_names; // Of data centres, by their numbers.
};

double usableSlots(const BalancerLoad::Pool &pool)
{
    return pool.slots[static_cast<std::size_t>(SteeredTargetState::Serving)] + pool.slots[static_cast<std::size_t>(SteeredTargetState::WarmingUp)];
}

double sumOf(const std::array<double, SteeredTargetStateCount> &counts)
{
    double sum = 0;
    for (const double count : counts) {
        sum += count;
    }
    return sum;
}

void widen(CountRange &range, double number, bool first)
{
    range = first ? CountRange{number, number} : CountRange{std::min(range.min, number), std::max(range.max, number)};
}

// Adds the view of a ready balancer to a row.
void addView(LoadReport::Row &row, const BalancerLoad::Pool &pool, bool first)
{
    for (std::size_t i = 0; i < SteeredTargetStateCount; ++i) {
        widen(row.targets[i], pool.targets[i], first);
    }
    widen(row.slots, sumOf(pool.slots), first);
    widen(row.usableSlots, usableSlots(pool), first);
}

void addViews(LoadReport &report, std::span<const BalancerLoad> balancers)
{
    for (auto &[location, row] : report.rows) {
        bool first = true;
        for (const BalancerLoad &balancer : balancers) {
            if (balancer.ready) {
                const auto pool = balancer.pools.find(location);
                addView(row, pool != balancer.pools.end() ? pool->second : BalancerLoad::Pool{}, std::exchange(first, false));
            }
        }
    }
}

void addSums(LoadReport &report, const BalancerLoad &balancer)
{
    for (const auto &[location, pool] : balancer.pools) {
        LoadReport::Row &row = report.rows[location];
        row.busy += pool.busy;
        if (pool.limit) {
            row.limit += *pool.limit;
            row.arrivals += pool.arrivals;
            ++row.limitingBalancers;
        }
    }
    for (const auto &[key, flows] : balancer.flows) {
        report.rows[{key.first, balancer.dataCentre}].flows[key.second] += flows;
    }
    if (balancer.linkLimit) {
        report.limitedLinks.push_back({balancer.node, balancer.dataCentre, balancer.linkUsed, *balancer.linkLimit, balancer.linkArrivals});
    }
}

void addExcluded(LoadReport &report, const BalancerLoad &balancer)
{
    if (!balancer.ready) {
        return;
    }
    for (const ExcludedTargetEntry &target : balancer.excluded) {
        ++report.excluded[target];
    }
    report.excludedNotListed = std::max(report.excludedNotListed, balancer.excludedTotal - static_cast<double>(balancer.excluded.size()));
    report.uncountedTargets = std::max(report.uncountedTargets, balancer.uncountedTargets);
}

// Counts are written as integers, up to those that a double holds exactly.
Json numberJson(double number)
{
    constexpr double MaxExactInteger = 9007199254740992; // 2^53.
    return std::trunc(number) == number && std::abs(number) <= MaxExactInteger ? Json(static_cast<std::int64_t>(number)) : Json(number);
}

Json rangeJson(const CountRange &range)
{
    return {{"min", numberJson(range.min)}, {"max", numberJson(range.max)}};
}

Json rowJson(const ServiceLocation &location, const LoadReport::Row &row)
{
    Json targets = Json::object();
    for (std::size_t i = 0; i < SteeredTargetStateCount; ++i) {
        targets[std::string(nameOf(static_cast<SteeredTargetState>(i)))] = rangeJson(row.targets[i]);
    }
    Json flows = Json::object();
    for (const auto &[priority, counts] : row.flows) {
        flows[std::to_string(priority)] = {{"admitted", numberJson(counts.admitted)},
                                           {"refusedByPools", numberJson(counts.refusedByPools)},
                                           {"refusedByLink", numberJson(counts.refusedByLink)}};
    }
    const bool limited = row.limitingBalancers > 0;
    return {{"service", location.service},
            {"dataCentre", location.dataCentre},
            {"targets", std::move(targets)},
            {"slots", rangeJson(row.slots)},
            {"usableSlots", rangeJson(row.usableSlots)},
            {"requestsInProgress", numberJson(row.busy)},
            {"limit", limited ? Json(row.limit) : Json()},
            {"arrivals", limited ? Json(row.arrivals) : Json()},
            {"limitingBalancers", row.limitingBalancers},
            {"flows", std::move(flows)}};
}

std::string numberText(double number)
{
    std::ostringstream text;
    const bool integral = std::trunc(number) == number;
    text << std::fixed;
    text.precision(integral ? 0 : 1);
    text << number;
    return text.str();
}

std::string rangeText(const CountRange &range)
{
    return range.min == range.max ? numberText(range.min) : numberText(range.min) + ".." + numberText(range.max);
}

// Formats a count of each priority, as "p0:120,p1:3".
std::string prioritiesText(const LoadReport::Row &row, double FlowCounts::*count)
{
    std::string text;
    for (const auto &[priority, counts] : row.flows) {
        text += (text.empty() ? "p" : ",p") + std::to_string(priority) + ':' + numberText(counts.*count);
    }
    return text.empty() ? "none" : text;
}

void writeRow(std::ostream &text, const ServiceLocation &location, const LoadReport::Row &row)
{
    text << "service=" << location.service << " data-centre=" << location.dataCentre;
    for (std::size_t i = 0; i < SteeredTargetStateCount; ++i) {
        text << ' ' << nameOf(static_cast<SteeredTargetState>(i)) << '=' << rangeText(row.targets[i]);
    }
    text << " slots=" << rangeText(row.slots) << " usable-slots=" << rangeText(row.usableSlots) << " in-progress=" << numberText(row.busy);
    if (row.limitingBalancers > 0) {
        text << " limit=" << numberText(row.limit) << " arrivals=" << numberText(row.arrivals) << " limited-by=" << row.limitingBalancers;
    } else {
        text << " limit=none";
    }
    text << " admitted=" << prioritiesText(row, &FlowCounts::admitted) << " refused-by-pools=" << prioritiesText(row, &FlowCounts::refusedByPools)
         << " refused-by-link=" << prioritiesText(row, &FlowCounts::refusedByLink) << '\n';
}

} // namespace

FlowCounts &FlowCounts::operator+=(const FlowCounts &other)
{
    admitted += other.admitted;
    refusedByPools += other.refusedByPools;
    refusedByLink += other.refusedByLink;
    return *this;
}

std::optional<BalancerLoad> parseBalancerLoad(std::string_view metrics, std::string &reason)
{
    LoadReader reader;
    const bool readable = readPrometheusText(metrics, [&](const PrometheusSample &sample) {
        reader.add(sample);
    });
    BalancerLoad load = reader.finish();
    if (!readable) {
        reason = "the metrics are malformed";
    } else if (load.node.empty()) {
        reason = "the metrics name no node: not a steering balancer, or one of an earlier release";
    } else {
        return load;
    }
    return std::nullopt;
}

bool parseExcludedTargets(std::string_view json, BalancerLoad &load)
{
    const Json document = parseJsonResponse(json).value_or(nullptr);
    try {
        load.excludedTotal = document.at("total").get<double>();
        for (const Json &target : document.at("targets")) {
            load.excluded.push_back({target.at("target").get<std::string>(),
                                     {target.at("service").get<std::string>(), target.at("dataCentre").get<std::string>()},
                                     target.at("address").get<std::string>(),
                                     target.at("reason").get<std::string>()});
        }
        return true;
    } catch (const Json::exception &) {
        return false;
    }
}

void subtractEarlierFlows(BalancerLoad &load, const BalancerLoad &earlier)
{
    const auto subtract = [](double &count, double before) {
        count -= before <= count ? before : 0;
    };
    for (auto &[key, flows] : load.flows) {
        if (const auto before = earlier.flows.find(key); before != earlier.flows.end()) {
            subtract(flows.admitted, before->second.admitted);
            subtract(flows.refusedByPools, before->second.refusedByPools);
            subtract(flows.refusedByLink, before->second.refusedByLink);
        }
    }
}

LoadReport makeLoadReport(std::span<const BalancerLoad> balancers, std::vector<FailedBalancer> failed, double flowSeconds)
{
    LoadReport report;
    report.answered = balancers.size();
    report.failed = std::move(failed);
    report.flowSeconds = flowSeconds;
    for (const BalancerLoad &balancer : balancers) {
        if (!balancer.ready) {
            report.notReady.push_back(balancer.node);
        }
        addSums(report, balancer);
        addExcluded(report, balancer);
    }
    addViews(report, balancers);
    return report;
}

Json loadReportJson(const LoadReport &report)
{
    Json services = Json::array();
    for (const auto &[location, row] : report.rows) {
        services.push_back(rowJson(location, row));
    }
    Json links = Json::array();
    for (const LoadReport::LimitedLink &link : report.limitedLinks) {
        links.push_back({{"node", link.node}, {"dataCentre", link.dataCentre}, {"used", link.used}, {"limit", link.limit}, {"arrivals", link.arrivals}});
    }
    Json excluded = Json::array();
    for (const auto &[target, balancers] : report.excluded) {
        excluded.push_back({{"target", target.target},
                            {"service", target.location.service},
                            {"dataCentre", target.location.dataCentre},
                            {"address", target.address},
                            {"reason", target.reason},
                            {"balancers", balancers}});
    }
    Json failed = Json::array();
    for (const FailedBalancer &balancer : report.failed) {
        failed.push_back({{"balancer", balancer.address}, {"error", balancer.reason}});
    }
    return {{"services", std::move(services)},
            {"limitedLinks", std::move(links)},
            {"excluded", std::move(excluded)},
            {"excludedNotListed", numberJson(report.excludedNotListed)},
            {"uncountedTargets", numberJson(report.uncountedTargets)},
            {"flowSeconds", report.flowSeconds},
            {"balancers", {{"answered", report.answered}, {"notReady", report.notReady}, {"failed", std::move(failed)}}}};
}

std::string loadReportText(const LoadReport &report)
{
    std::ostringstream text;
    for (const auto &[location, row] : report.rows) {
        writeRow(text, location, row);
    }
    for (const LoadReport::LimitedLink &link : report.limitedLinks) {
        text << "link-limited=" << link.node << " data-centre=" << link.dataCentre << " used=" << std::lround(100 * link.used)
             << "% limit=" << numberText(link.limit) << " arrivals=" << numberText(link.arrivals) << '\n';
    }
    for (const auto &[target, balancers] : report.excluded) {
        text << "excluded=" << target.target << " service=" << target.location.service << " data-centre=" << target.location.dataCentre
             << " address=" << target.address << " reason=" << target.reason << " balancers=" << balancers << '\n';
    }
    if (report.excludedNotListed > 0) {
        text << "excluded-not-listed=" << numberText(report.excludedNotListed) << '\n';
    }
    if (report.uncountedTargets > 0) {
        text << "uncounted-targets=" << numberText(report.uncountedTargets) << '\n';
    }
    for (const std::string &node : report.notReady) {
        text << "not-ready=" << node << '\n';
    }
    for (const FailedBalancer &balancer : report.failed) {
        text << "failed=" << balancer.address << " error=\"" << balancer.reason << "\"\n";
    }
    text << "balancers=" << report.answered + report.failed.size() << " answered=" << report.answered << " flow-seconds=" << numberText(report.flowSeconds)
         << '\n';
    return text.str();
}

} // namespace Robinrail
