// SPDX-License-Identifier: MIT
// Fuzz target: input from the platform (packets, documents, announcements), node messages and recovery notes.
#include "document_codec.h"
#include "node_message.h"
#include "packet_codec.h"
#include "recovery_notes.h"

#include <cstddef>
#include <cstdint>

using namespace Robinrail;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const BytesView bytes(data, size);
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    std::string reason;
    Platform::PacketHeaderCodec::decode(bytes);
    Platform::parseRoutingDocument(text, reason);
    Platform::parseAnnouncement(TargetKey{1}, text, SteeringSettings{}, reason);
    Platform::parseTargetId(text);
    decodeMessage<NodeMessage>(bytes);
    decodeNotes(bytes);
    return 0;
}
