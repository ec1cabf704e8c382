// SPDX-License-Identifier: MIT
// Version: what --version prints.
#pragma once

namespace Robinrail {

inline constexpr const char *VersionText = "robinrail 0.1.0";

} // namespace Robinrail
