// SPDX-License-Identifier: MIT
// Prometheus text: formats labels for PrometheusWriter, and reads the samples of a text that it wrote.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Robinrail {

// A label as name="text", with the text escaped.
std::string prometheusLabel(std::string_view name, std::string_view text);

struct PrometheusSample {
    std::string_view name;
    std::map<std::string, std::string> labels;
    double number = 0;
};

// Calls visit(sample) for each sample. Returns false at the first line that is neither a sample nor a comment.
bool readPrometheusText(std::string_view text, const std::function<void(const PrometheusSample &)> &visit);

} // namespace Robinrail
