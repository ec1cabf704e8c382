// SPDX-License-Identifier: MIT
// Fuzz target: the bundle parser.
#include "bundle.h"

#include <cstddef>
#include <cstdint>

using namespace Robinrail;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    JsonError fault;
    parseBundle({reinterpret_cast<const char *>(data), size}, fault);
    return 0;
}
