// SPDX-License-Identifier: MIT
// Metrics: latency histograms (Boost.Histogram) and the Prometheus text format.
#pragma once

#include "types.h"

#include <boost/histogram.hpp>

#include <sstream>
#include <string>
#include <string_view>

namespace Robinrail {

// Histogram of durations, with logarithmic bins from 100 microseconds to 100 seconds.
class LatencyHistogram
{
public:
    LatencyHistogram();

    void record(Duration duration);

    // Upper edge of the bin that contains the quantile, for a fraction from 0 to 1; 0 if nothing was recorded.
    Duration quantile(double fraction) const;

    std::uint64_t count() const;
    double sumSeconds() const;

    // Calls visit(upper edge in seconds, cumulative count) for each bin.
    template<typename Visit>
    void forEachBin(Visit visit) const
    {
        double cumulative = m_histogram.at(-1);
        const auto &axis = m_histogram.axis();
        for (int bin = 0; bin < axis.size(); ++bin) {
            cumulative += m_histogram.at(bin);
            visit(axis.bin(bin).upper(), cumulative);
        }
    }

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    static constexpr unsigned BinCount = 240; // Each bin is about 6% wide.

    decltype(boost::histogram::make_histogram(std::declval<Axis>())) m_histogram;
    std::uint64_t m_count = 0;
    double m_sum = 0;
};

// Writes metrics in the Prometheus text exposition format, version 0.0.4.
class PrometheusWriter
{
public:
    void counter(std::string_view name, std::string_view help, double number, std::string_view labels = {});
    void gauge(std::string_view name, std::string_view help, double number, std::string_view labels = {});
    void histogram(std::string_view name, std::string_view help, const LatencyHistogram &histogram);
    std::string text() const;

private:
    void sample(std::string_view name, std::string_view help, std::string_view type, double number, std::string_view labels);

    std::ostringstream m_text;
    std::string m_lastName;
};

} // namespace Robinrail
