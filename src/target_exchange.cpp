// SPDX-License-Identifier: MIT
// Target exchange: over the links of a node.
#include "node_links.h"
#include "target_exchange_detail.h"

namespace Robinrail {

template class BasicTargetExchange<NodeLinks>;

} // namespace Robinrail
