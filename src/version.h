// SPDX-License-Identifier: MIT
// Version: the text printed by --version.
#pragma once

namespace Robinrail {

inline constexpr const char *VersionText = "robinrail 0.1.0";

} // namespace Robinrail
