// SPDX-License-Identifier: MIT
// Routing state: the state machine of the routing replicas, consisting of the routing document and the drained data
// centres. Changes are not signed: operators are trusted by their network. The document's text is kept as it was sent, so
// that a read returns it unchanged.
#pragma once

#include "codec.h"
#include "data_centre_drains.h"
#include "routing_table.h"
#include "version_order.h"

#include <variant>

namespace Robinrail {

// A validated routing document: the text that the operator sent, and the routing table derived from it.
struct RoutingDocument {
    std::string text;
    RoutingTable table;

    auto fields()
    {
        return std::tie(text, table);
    }
};

// A change as stored in the log. The order of the alternatives is part of the disk format.
using RoutingChange = std::variant<RoutingDocument, DataCentreDrainOrder>;

// Result of a change, with the version of the document in force after it.
struct RoutingResult {
    VersionVerdict verdict = VersionVerdict::Superseded;
    std::uint64_t currentVersion = 0;
};

namespace detail {

// The whole state as stored in a snapshot.
struct FullRoutingState {
    RoutingDocument document;
    DataCentreDrains drains;

    auto fields()
    {
        return std::tie(document, drains);
    }
};

// Snapshots of earlier releases consist of the document alone.
using RoutingSnapshot = std::variant<RoutingDocument, FullRoutingState>;

} // namespace detail

template<VersionOrder Order>
class BasicRoutingState
{
public:
    using Change = RoutingChange;
    using Result = RoutingResult;

    // The log is compacted after this many bytes of entries. A document has up to 100 KB, and a disk 128 MB.
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
        if (const auto *order = std::get_if<DataCentreDrainOrder>(&*change)) {
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

    // Version 0 if there is no document yet.
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
        const std::uint64_t currentVersion = m_document.table.version;
        const VersionVerdict verdict = Order::evaluate(currentVersion, currentVersion, document.table.version);
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
