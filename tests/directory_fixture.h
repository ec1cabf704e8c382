// SPDX-License-Identifier: MIT
// Directory fixture: test targets, and a replica's directory that knows their services.
#pragma once

#include "target_directory.h"

#include <string>
#include <vector>

namespace Robinrail {

inline TargetRecord targetOf(std::uint64_t key, const std::string &service)
{
    TargetRecord record;
    record.key = TargetKey{key};
    record.service = service;
    record.address = {static_cast<std::uint32_t>(key), 8080};
    record.slots = 2;
    record.sequence = 1;
    return record;
}

// A directory of a replica whose routing document names two services. Targets are silent after 3 s.
inline TargetDirectory directoryWithServices()
{
    TargetDirectory directory(std::chrono::seconds(1), std::chrono::seconds(3));
    const std::vector<std::string> services = {"quotes", "decks"};
    directory.setServices(services);
    return directory;
}

} // namespace Robinrail
