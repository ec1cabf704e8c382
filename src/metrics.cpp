// SPDX-License-Identifier: MIT
// Metrics: implementation.
#include "metrics.h"

namespace Robinrail {

namespace {

constexpr double MinSeconds = 1e-4;
constexpr double MaxSeconds = 100.0;
constexpr double MicrosecondsPerSecond = 1e6;

} // namespace

LatencyHistogram::LatencyHistogram()
    : m_histogram(boost::histogram::make_histogram(Axis(BinCount, MinSeconds, MaxSeconds)))
{
}

void LatencyHistogram::record(Duration duration)
{
    const double seconds = static_cast<double>(duration.count()) / MicrosecondsPerSecond;
    m_histogram(std::max(seconds, MinSeconds / 2));
    ++m_count;
    m_sum += seconds;
}

Duration LatencyHistogram::quantile(double part) const
{
    const double wanted = part * static_cast<double>(m_count);
    double edge = 0;
    bool found = m_count == 0;
    forEachBin([&](double upper, double below) {
        if (!found && below >= wanted) {
            edge = upper;
            found = true;
        }
    });
    return Duration(static_cast<std::int64_t>(edge * MicrosecondsPerSecond));
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
    histogram.forEachBin([&](double upper, double below) {
        m_text << name << "_bucket{le=\"" << upper << "\"} " << below << '\n';
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
    m_text << ' ' << number << '\n';
}

std::string PrometheusWriter::text() const
{
    return m_text.str();
}

} // namespace Robinrail
