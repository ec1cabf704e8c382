// SPDX-License-Identifier: MIT
// Routing state: the replicated routing document of a cluster whose operators are trusted by their network.
// The text is kept as it was sent, so that a read returns it unchanged.
#pragma once

#include "codec.h"
#include "routing_table.h"
#include "version_order.h"

#include <variant>

namespace Robinrail {

// A checked document: the text that the operator sent, and what balancers need of it.
struct RoutingDocument {
    std::string text;
    RoutingTable table;

    auto fields()
    {
        return std::tie(text, table);
    }
};

// The held version after a change, which is the proposed one or a higher one.
struct RoutingResult {
    VersionVerdict verdict = VersionVerdict::Superseded;
    std::uint64_t held = 0;
};

template<VersionOrder Order>
class BasicRoutingState
{
public:
    using Change = RoutingDocument;
    using Result = RoutingResult;

    // Entries of this many bytes are replaced by a snapshot. A document has up to 100 KB and a disk 128 MB.
    static constexpr std::size_t CompactionBytes = std::size_t{1} << 20U;

    static Bytes encodeChange(const RoutingDocument &document)
    {
        return encodeMessage(std::variant<RoutingDocument>(document));
    }

    RoutingResult applyCommand(BytesView command)
    {
        std::optional<std::variant<RoutingDocument>> change = decodeMessage<std::variant<RoutingDocument>>(command);
        if (!change) {
            return {VersionVerdict::Conflict, m_document.table.version};
        }
        RoutingDocument &document = std::get<0>(*change);
        const VersionVerdict verdict = Order::judge(m_document.table.version, m_document.table.version, document.table.version);
        if (verdict == VersionVerdict::Apply) {
            m_document = std::move(document);
        }
        return {verdict, m_document.table.version};
    }

    Bytes serialize() const
    {
        return encodeChange(m_document);
    }

    bool restore(BytesView bytes)
    {
        std::optional<std::variant<RoutingDocument>> document = decodeMessage<std::variant<RoutingDocument>>(bytes);
        if (!document) {
            return false;
        }
        m_document = std::get<0>(std::move(*document));
        return true;
    }

    // Version 0 as long as there is none.
    const RoutingDocument &document() const
    {
        return m_document;
    }

private:
    RoutingDocument m_document;
};

using RoutingState = BasicRoutingState<HighestVersion>;

} // namespace Robinrail
