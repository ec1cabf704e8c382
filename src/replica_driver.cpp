// SPDX-License-Identifier: MIT
// Replica driver: the parts that do not depend on the state machine.
#include "replica_driver.h"

#include "log.h"

#include <boost/leaf/handle_errors.hpp>

namespace Robinrail::detail {

namespace leaf = boost::leaf;

namespace {

// Runs a storage operation; logs an error and returns false if it fails.
template<typename Step>
bool succeedsOrLog(Step step)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(step());
            return true;
        },
        [](const StorageContext &context) {
            LogLine(LogLevel::Error, "storage-failed").with("file", context.file).with("reason", context.detail);
            return false;
        },
        [](const leaf::error_info &info) {
            LogLine(LogLevel::Error, "storage-failed").with("reason", "error without context").with("error", info.error().value());
            return false;
        });
}

} // namespace

bool persistOrLog(RaftStorage &storage, const RaftOutput &output)
{
    return succeedsOrLog([&] {
        return storage.persist(output);
    });
}

Admission admitOrLog(RaftStorage &storage, ReplicaKey self, const RaftEnvelope &envelope)
{
    const std::uint64_t cluster = storage.identity().cluster;
    if (envelope.to != self) {
        return Admission::Rejected;
    }
    if (cluster != 0 && envelope.cluster != cluster) {
        LogLine(LogLevel::Warning, "foreign-cluster").with("replica", value(envelope.from.id)).with("cluster", envelope.cluster);
        return Admission::Rejected;
    }
    if (cluster == 0 && envelope.cluster != 0) {
        const bool joined = succeedsOrLog([&] {
            return storage.setCluster(envelope.cluster);
        });
        if (!joined) {
            return Admission::StorageFailed;
        }
        LogLine(LogLevel::Info, "joined-cluster").with("cluster", envelope.cluster);
    }
    return Admission::Admitted;
}

} // namespace Robinrail::detail
