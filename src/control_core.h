// SPDX-License-Identifier: MIT
// Control core: consensus over the state machine of signed bundles.
#pragma once

#include "control_state.h"
#include "replicated_core.h"

namespace Robinrail {

using ControlCore = ReplicatedCore<ControlState>;
using ControlReply = ControlCore::Reply;

} // namespace Robinrail
