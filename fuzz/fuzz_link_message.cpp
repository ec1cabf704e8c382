// SPDX-License-Identifier: MIT
// Fuzz target: decoding of link messages, Raft messages and control changes.
#include "link_message.h"

#include <cstddef>
#include <cstdint>

using namespace Robinrail;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    decodeMessage<LinkMessage>({data, size});
    decodeMessage<RaftMessage>({data, size});
    decodeMessage<ControlChange>({data, size});
    return 0;
}
