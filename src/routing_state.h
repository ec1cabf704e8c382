// SPDX-License-Identifier: MIT
// Routing state: what a cluster whose operators are trusted by their network agrees on, that is the routing document and
// the data centres that are drained. The document's text is kept as it was sent, so that a read returns it unchanged.
#pragma once

#include "codec.h"
#include "data_centre_drains.h"
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

// A change as the log carries it. The order of the alternatives is the format on disk.
using RoutingChange = std::variant<RoutingDocument, DataCentreOrder>;

// The held version after a change, which is the proposed one or a higher one.
struct RoutingResult {
    VersionVerdict verdict = VersionVerdict::Superseded;
    std::uint64_t held = 0;
};

namespace detail {

// The whole state, as it goes into a snapshot.
struct FullRoutingState {
    RoutingDocument document;
    DataCentreDrains drains;

    auto fields()
    {
        return std::tie(document, drains);
    }
};

// Snapshots of earlier releases are a document alone.
using RoutingSnapshot = std::variant<RoutingDocument, FullRoutingState>;

} // namespace detail

template<VersionOrder Order>
class BasicRoutingState
{
public:
    using Change = RoutingChange;
    using Result = RoutingResult;

    // Entries of this many bytes are replaced by a snapshot. A document has up to 100 KB and a disk 128 MB.
    static constexpr std::size_t CompactionBytes = std::size_t{1} << 20U;

    static Bytes encodeChange(const RoutingChange &change)
    {
        return encodeMessage(change);
    }

    RoutingResult applyCommand(BytesView command)
    {
        std::optional<RoutingChange> change = decodeMessage<RoutingChange>(command);
        if (!change) {
            return {VersionVerdict::Conflict, m_document.table.version};
        }
        if (const auto *order = std::get_if<DataCentreOrder>(&*change)) {
            const bool changed = m_drains.apply(*order);
            return {changed ? VersionVerdict::Apply : VersionVerdict::Superseded, m_document.table.version};
        }
        return applyDocument(std::get<RoutingDocument>(std::move(*change)));
    }

    Bytes serialize() const
    {
        return encodeMessage(detail::RoutingSnapshot(detail::FullRoutingState{m_document, m_drains}));
    }

    bool restore(BytesView bytes)
    {
        std::optional<detail::RoutingSnapshot> snapshot = decodeMessage<detail::RoutingSnapshot>(bytes);
        if (!snapshot) {
            return false;
        }
        if (auto *image = std::get_if<detail::FullRoutingState>(&*snapshot)) {
            m_document = std::move(image->document);
            m_drains = std::move(image->drains);
        } else {
            m_document = std::get<RoutingDocument>(std::move(*snapshot));
            m_drains = {};
        }
        return true;
    }

    // Version 0 as long as there is none.
    const RoutingDocument &document() const
    {
        return m_document;
    }

    const DataCentreDrains &drains() const
    {
        return m_drains;
    }

private:
    RoutingResult applyDocument(RoutingDocument document)
    {
        const std::uint64_t held = m_document.table.version;
        const VersionVerdict verdict = Order::evaluate(held, held, document.table.version);
        if (verdict == VersionVerdict::Apply) {
            m_document = std::move(document);
        }
        return {verdict, m_document.table.version};
    }

    RoutingDocument m_document;
    DataCentreDrains m_drains;
};

using RoutingState = BasicRoutingState<HighestVersion>;

} // namespace Robinrail
