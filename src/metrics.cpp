// SPDX-License-Identifier: MIT
// Metrics: implementation.
#include "metrics.h"

#include <cmath>

namespace Robinrail {

namespace {

constexpr double MinSeconds = 1e-4;
constexpr double MaxSeconds = 100.0;
constexpr double MicrosecondsPerSecond = 1e6;
constexpr double MaxExactInteger = 9007199254740992; // 2^53: integers up to this are exact as a double.

// Writes integers with all their digits: the 6 digits of a stream would hide the increase of a large counter.
void writeNumber(std::ostream &text, double number)
{
    if (std::abs(number) <= MaxExactInteger && std::trunc(number) == number) {
        text << static_cast<std::int64_t>(number);
    } else {
        text << number;
    }
}

} // namespace

LatencyHistogram::LatencyHistogram()
    : m_histogram(boost::histogram::make_histogram(Axis(BinCount, MinSeconds, MaxSeconds)))
{
}

void LatencyHistogram::record(Duration duration)
{
    const double seconds = static_cast<double>(duration.count()) / MicrosecondsPerSecond;
    m_histogram(std::max(seconds, MinSeconds / 2)); // The logarithmic axis has no place for 0; this is counted as underflow.
    ++m_count;
    m_sum += seconds;
}

Duration LatencyHistogram::quantile(double fraction) const
{
    const double rank = fraction * static_cast<double>(m_count);
    double upperEdge = 0;
    bool found = m_count == 0;
    forEachBin([&](double upper, double cumulative) {
        if (!found && cumulative >= rank) {
            upperEdge = upper;
            found = true;
        }
    });
    return Duration(static_cast<std::int64_t>(upperEdge * MicrosecondsPerSecond));
}

std::uint64_t LatencyHistogram::count() const
{
    return m_count;
}

double LatencyHistogram::sumSeconds() const
{
    return m_sum;
}

void PrometheusWriter::counter(std::string_view name, std::string_view help, double number, std::string_view labels)
{
    sample(name, help, "counter", number, labels);
}

void PrometheusWriter::gauge(std::string_view name, std::string_view help, double number, std::string_view labels)
{
    sample(name, help, "gauge", number, labels);
}

void PrometheusWriter::histogram(std::string_view name, std::string_view help, const LatencyHistogram &histogram)
{
    m_text << "# HELP " << name << ' ' << help << "\n# TYPE " << name << " histogram\n";
    histogram.forEachBin([&](double upper, double cumulative) {
        m_text << name << "_bucket{le=\"" << upper << "\"} " << cumulative << '\n';
    });
    m_text << name << "_bucket{le=\"+Inf\"} " << histogram.count() << '\n';
    m_text << name << "_sum " << histogram.sumSeconds() << '\n';
    m_text << name << "_count " << histogram.count() << '\n';
}

void PrometheusWriter::sample(std::string_view name, std::string_view help, std::string_view type, double number, std::string_view labels)
{
    if (m_lastName != name) {
        m_text << "# HELP " << name << ' ' << help << "\n# TYPE " << name << ' ' << type << '\n';
        m_lastName = name;
    }
    m_text << name;
    if (!labels.empty()) {
        m_text << '{' << labels << '}';
    }
    m_text << ' ';
    writeNumber(m_text, number);
    m_text << '\n';
}

std::string PrometheusWriter::text() const
{
    return m_text.str();
}

} // namespace Robinrail
