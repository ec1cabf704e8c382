// SPDX-License-Identifier: MIT
// Prometheus text: implementation.
#include "prometheus_text.h"

#include <charconv>

namespace Robinrail {

namespace {

// Reads one sample line from left to right. Each function returns false at the first character that doesn't fit.
class SampleReader
{
public:
    explicit SampleReader(std::string_view line)
        : m_rest(line)
    {
    }

    bool read(PrometheusSample &sample)
    {
        const std::size_t end = m_rest.find_first_of(" {");
        if (end == std::string_view::npos || end == 0) {
            return false;
        }
        sample.name = take(end);
        return (!skip("{") || readLabels(sample.labels)) && skip(" ") && readNumber(sample.number);
    }

private:
    std::string_view take(std::size_t length)
    {
        const std::string_view taken = m_rest.substr(0, length);
        m_rest.remove_prefix(length);
        return taken;
    }

    bool skip(std::string_view expected)
    {
        if (!m_rest.starts_with(expected)) {
            return false;
        }
        m_rest.remove_prefix(expected.size());
        return true;
    }

    bool readLabels(std::map<std::string, std::string> &labels)
    {
        while (!skip("}")) {
            const std::size_t end = m_rest.find('=');
            if (end == std::string_view::npos) {
                return false;
            }
            std::string &text = labels[std::string(take(end))];
            if (!skip("=\"") || !readLabelText(text)) {
                return false;
            }
            skip(",");
        }
        return true;
    }

    // The text of a label up to and including the closing quote.
    bool readLabelText(std::string &text)
    {
        while (!m_rest.empty()) {
            const char character = take(1).front();
            if (character == '"') {
                return true;
            }
            if (character != '\\') {
                text += character;
            } else if (!m_rest.empty()) {
                const char escaped = take(1).front();
                text += escaped == 'n' ? '\n' : escaped;
            }
        }
        return false;
    }

    bool readNumber(double &number)
    {
        const char *end = m_rest.data() + m_rest.size();
        const auto [at, error] = std::from_chars(m_rest.data(), end, number);
        return error == std::errc() && at == end;
    }

    std::string_view m_rest;
};

} // namespace

std::string prometheusLabel(std::string_view name, std::string_view text)
{
    std::string label(name);
    label += "=\"";
    for (const char character : text) {
        if (character == '\n') {
            label += "\\n";
            continue;
        }
        if (character == '\\' || character == '"') {
            label += '\\';
        }
        label += character;
    }
    return label + '"';
}

bool readPrometheusText(std::string_view text, const std::function<void(const PrometheusSample &)> &visit)
{
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        const std::string_view line = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
        if (line.empty() || line.front() == '#') {
            continue;
        }
        PrometheusSample sample;
        if (!SampleReader(line).read(sample)) {
            return false;
        }
        visit(sample);
    }
    return true;
}

} // namespace Robinrail
