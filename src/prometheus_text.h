// SPDX-License-Identifier: MIT
// Prometheus text: reads samples from the Prometheus text exposition format, version 0.0.4, as PrometheusWriter writes it.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Robinrail {

struct PrometheusSample {
    std::string_view name;
    std::map<std::string, std::string> labels;
    double number = 0;
};

// Calls visit(sample) for each sample. Returns false at the first line that is neither a sample nor a comment.
bool readPrometheusText(std::string_view text, const std::function<void(const PrometheusSample &)> &visit);

} // namespace Robinrail
