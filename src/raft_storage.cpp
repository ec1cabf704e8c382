// SPDX-License-Identifier: MIT
// Raft storage: record format, recovery and atomic file replacement.
#include "raft_storage.h"

#include "codec.h"
#include "durable_file.h"

#include <boost/leaf/handle_errors.hpp>

#include <cstring>
#include <fcntl.h>
#include <unistd.h>
#include <xxhash.h>

namespace Robinrail {

namespace leaf = boost::leaf;

namespace {

// Record layout: magic (4 bytes), payload length (4), checksum over length and payload (8), payload.
constexpr std::uint32_t RecordMagic = 0x52524c31;

// A batch is framed like a record and holds all items that one write appends to the log, each preceded by its
// length. A write torn by a power loss is then a single invalid batch at the end of the log, whichever parts
// of it reached the disk; separate records could look like corruption in the middle.
constexpr std::uint32_t BatchMagic = 0x52524c32;
constexpr std::size_t RecordHeader = 16;
constexpr std::uint32_t MaxRecord = std::uint32_t{64} << 20U;

constexpr const char *IdentityFile = "identity";
constexpr const char *LogFile = "log";
constexpr const char *SnapshotFile = "snapshot";

// Item of the log file. An entry truncates all earlier ones with the same or a higher index.
using LogRecord = std::variant<HardState, LogEntry>;

template<typename Integer>
void storeInteger(Bytes &bytes, Integer number)
{
    std::uint8_t raw[sizeof(Integer)];
    std::memcpy(raw, &number, sizeof(Integer));
    bytes.insert(bytes.end(), raw, raw + sizeof(Integer));
}

template<typename Integer>
Integer loadInteger(BytesView bytes, std::size_t at)
{
    Integer number{};
    std::memcpy(&number, bytes.data() + at, sizeof(Integer));
    return number;
}

std::uint64_t checksum(std::uint32_t length, BytesView payload)
{
    return XXH3_64bits_withSeed(payload.data(), payload.size(), length);
}

void appendFramed(Bytes &bytes, std::uint32_t magic, BytesView payload)
{
    const auto length = static_cast<std::uint32_t>(payload.size());
    storeInteger(bytes, magic);
    storeInteger(bytes, length);
    storeInteger(bytes, checksum(length, payload));
    bytes.insert(bytes.end(), payload.begin(), payload.end());
}

void appendBatchItem(Bytes &batch, BytesView payload)
{
    storeInteger(batch, static_cast<std::uint32_t>(payload.size()));
    batch.insert(batch.end(), payload.begin(), payload.end());
}

// Payload of the valid record or batch at `at`, if there is one.
std::optional<BytesView> recordAt(BytesView bytes, std::size_t at)
{
    if (at + RecordHeader > bytes.size()) {
        return std::nullopt;
    }
    const auto magic = loadInteger<std::uint32_t>(bytes, at);
    if (magic != RecordMagic && magic != BatchMagic) {
        return std::nullopt;
    }
    const auto length = loadInteger<std::uint32_t>(bytes, at + 4);
    if (length > MaxRecord || at + RecordHeader + length > bytes.size()) {
        return std::nullopt;
    }
    const BytesView payload = bytes.subspan(at + RecordHeader, length);
    if (loadInteger<std::uint64_t>(bytes, at + 8) != checksum(length, payload)) {
        return std::nullopt;
    }
    return payload;
}

// Whether a valid record starts anywhere after `at`. If so, the data at `at` is corrupt rather than a torn last write.
bool hasValidRecordAfter(BytesView bytes, std::size_t at)
{
    for (std::size_t probe = at + 1; probe + RecordHeader <= bytes.size(); ++probe) {
        if (recordAt(bytes, probe)) {
            return true;
        }
    }
    return false;
}

leaf::error_id failure(StorageError error, const std::filesystem::path &file, std::string detail)
{
    return leaf::new_error(error, StorageContext{file.string(), std::move(detail)});
}

// Runs a function and maps a FileError to StorageError::Io.
template<typename Function>
auto mapFileErrors(Function function) -> decltype(function())
{
    using Result = decltype(function());
    return leaf::try_handle_some(function, [](FileError, const FileErrorContext &context) -> Result {
        return failure(StorageError::Io, context.path, std::strerror(context.errorNumber));
    });
}

template<typename T>
Bytes encodeChecksummed(const T &object)
{
    Bytes bytes;
    appendFramed(bytes, RecordMagic, encodeObject(object));
    return bytes;
}

template<typename T>
bool decodeChecksummed(const Bytes &bytes, T &object)
{
    const std::optional<BytesView> payload = recordAt(bytes, 0);
    if (!payload || RecordHeader + payload->size() != bytes.size()) {
        return false;
    }
    return decodeObject(*payload, object);
}

// Decodes the items in the payload of a record or batch; nothing if one of them can't be decoded.
std::optional<std::vector<LogRecord>> logRecords(BytesView bytes, std::size_t at, BytesView payload)
{
    std::vector<BytesView> pieces;
    const bool singleRecord = loadInteger<std::uint32_t>(bytes, at) == RecordMagic; // Format 1.
    if (singleRecord) {
        pieces.push_back(payload);
        payload = {};
    }
    while (!payload.empty()) {
        if (payload.size() < sizeof(std::uint32_t)) {
            return std::nullopt;
        }
        const auto length = loadInteger<std::uint32_t>(payload, 0);
        payload = payload.subspan(sizeof(std::uint32_t));
        if (length > payload.size()) {
            return std::nullopt;
        }
        pieces.push_back(payload.first(length));
        payload = payload.subspan(length);
    }
    std::vector<LogRecord> records;
    for (const BytesView piece : pieces) {
        std::optional<LogRecord> record = decodeMessage<LogRecord>(piece);
        if (!record) {
            return std::nullopt;
        }
        records.push_back(std::move(*record));
    }
    return records;
}

// Appends an entry to a log after truncating the entries that it replaces.
void appendReplacing(std::vector<LogEntry> &log, LogEntry entry)
{
    while (!log.empty() && log.back().index >= entry.index) {
        log.pop_back();
    }
    log.push_back(std::move(entry));
}

} // namespace

RaftStorage::RaftStorage(RaftStorage &&other) noexcept
    : m_folder(std::move(other.m_folder))
    , m_identity(other.m_identity)
    , m_durable(std::move(other.m_durable))
    , m_hard(other.m_hard)
    , m_newlyCreated(other.m_newlyCreated)
    , m_log(std::exchange(other.m_log, -1))
    , m_logBytes(other.m_logBytes)
{
}

RaftStorage &RaftStorage::operator=(RaftStorage &&other) noexcept
{
    std::swap(m_folder, other.m_folder);
    std::swap(m_identity, other.m_identity);
    std::swap(m_durable, other.m_durable);
    std::swap(m_hard, other.m_hard);
    std::swap(m_newlyCreated, other.m_newlyCreated);
    std::swap(m_log, other.m_log);
    std::swap(m_logBytes, other.m_logBytes);
    return *this;
}

RaftStorage::~RaftStorage()
{
    if (m_log >= 0) {
        ::close(m_log);
    }
}

leaf::result<RaftStorage> RaftStorage::open(const std::filesystem::path &folder, ReplicaId replica, std::uint64_t newDisk)
{
    RaftStorage storage;
    storage.m_folder = folder;
    std::error_code ignored;
    std::filesystem::create_directories(folder, ignored);
    const std::filesystem::path identityPath = folder / IdentityFile;
    BOOST_LEAF_AUTO(found, mapFileErrors([&] {
                        return readFile(identityPath);
                    }));
    if (!found) {
        if (std::filesystem::exists(folder / LogFile) || std::filesystem::exists(folder / SnapshotFile)) {
            return failure(StorageError::DamagedIdentity, identityPath, "file is missing although a log or snapshot exists");
        }
        storage.m_newlyCreated = true;
        storage.m_identity = {StorageFormat, 0, replica, newDisk};
        BOOST_LEAF_CHECK(mapFileErrors([&] {
            return replaceFile(identityPath, encodeChecksummed(storage.m_identity));
        }));
    } else if (!decodeChecksummed(*found, storage.m_identity)) {
        return failure(StorageError::DamagedIdentity, identityPath, "checksum mismatch or invalid content");
    }
    if (storage.m_identity.format > StorageFormat) {
        return failure(StorageError::NewerFormat, identityPath, "unsupported newer format " + std::to_string(storage.m_identity.format));
    }
    if (storage.m_identity.replica != replica) {
        return failure(StorageError::ForeignFolder, identityPath, "data folder belongs to replica " + std::to_string(value(storage.m_identity.replica)));
    }
    BOOST_LEAF_CHECK(storage.load());
    return storage;
}

leaf::result<void> RaftStorage::load()
{
    const std::filesystem::path snapshotPath = m_folder / SnapshotFile;
    BOOST_LEAF_AUTO(found, mapFileErrors([&] {
                        return readFile(snapshotPath);
                    }));
    if (found && !decodeChecksummed(*found, m_durable.snapshot.emplace())) {
        return failure(StorageError::DamagedSnapshot, snapshotPath, "checksum mismatch or invalid content");
    }
    BOOST_LEAF_CHECK(loadLog());
    BOOST_LEAF_CHECK(openLog());
    return syncFiles();
}

// A process that was killed between a write and its sync leaves data that only the cache of the system may hold. The core counts
// what was read back as durable and confirms it to others, so it must survive a power loss from here on.
leaf::result<void> RaftStorage::syncFiles()
{
    return mapFileErrors([&]() -> leaf::result<void> {
        for (const char *const name : {IdentityFile, LogFile, SnapshotFile}) {
            BOOST_LEAF_CHECK(syncFile(m_folder / name));
        }
        return {};
    });
}

leaf::result<void> RaftStorage::loadLog()
{
    const std::filesystem::path path = m_folder / LogFile;
    BOOST_LEAF_AUTO(found, mapFileErrors([&] {
                        return readFile(path);
                    }));
    const Bytes bytes = found ? std::move(*found) : Bytes();
    std::size_t at = 0;
    while (at < bytes.size()) {
        const std::optional<BytesView> payload = recordAt(bytes, at);
        if (!payload) {
            break;
        }
        std::optional<std::vector<LogRecord>> records = logRecords(bytes, at, *payload);
        if (!records) {
            return failure(StorageError::DamagedLog, path, "undecodable record at byte " + std::to_string(at));
        }
        for (LogRecord &record : *records) {
            if (const auto *hard = std::get_if<HardState>(&record)) {
                m_durable.hard = *hard;
            } else {
                appendReplacing(m_durable.log, std::get<LogEntry>(std::move(record)));
            }
        }
        at += RecordHeader + payload->size();
    }
    if (at < bytes.size()) {
        if (hasValidRecordAfter(bytes, at)) {
            return failure(StorageError::DamagedLog, path, "corrupt record before the end of the log, at byte " + std::to_string(at));
        }
        // A torn write at the end was never synced, hence never acknowledged.
        std::error_code error;
        std::filesystem::resize_file(path, at, error);
        if (error) {
            return failure(StorageError::Io, path, error.message());
        }
    }
    m_logBytes = at;
    const LogIndex covered = m_durable.snapshot ? m_durable.snapshot->index : LogIndex{0};
    std::erase_if(m_durable.log, [covered](const LogEntry &entry) {
        return entry.index <= covered;
    });
    for (std::size_t i = 0; i < m_durable.log.size(); ++i) {
        if (value(m_durable.log[i].index) != value(covered) + 1 + i) {
            return failure(StorageError::DamagedLog, path, "entry missing at index " + std::to_string(value(covered) + 1 + i));
        }
    }
    m_hard = m_durable.hard;
    return {};
}

leaf::result<void> RaftStorage::openLog()
{
    const std::filesystem::path path = m_folder / LogFile;
    if (m_log >= 0) {
        ::close(m_log);
    }
    constexpr int OwnerOnly = 0600;
    m_log = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, OwnerOnly);
    if (m_log < 0) {
        return failure(StorageError::Io, path, std::strerror(errno));
    }
    return mapFileErrors([&] {
        return syncFolder(m_folder);
    });
}

const StorageIdentity &RaftStorage::identity() const
{
    return m_identity;
}

PersistentRaftState RaftStorage::takePersistentState()
{
    return std::exchange(m_durable, {});
}

bool RaftStorage::newlyCreated() const
{
    return m_newlyCreated;
}

leaf::result<void> RaftStorage::setCluster(std::uint64_t cluster)
{
    if (m_identity.cluster != 0 && m_identity.cluster != cluster) {
        return failure(StorageError::ForeignFolder, m_folder / IdentityFile, "data folder belongs to another cluster");
    }
    m_identity.cluster = cluster;
    return mapFileErrors([&] {
        return replaceFile(m_folder / IdentityFile, encodeChecksummed(m_identity));
    });
}

leaf::result<void> RaftStorage::persist(const RaftOutput &output)
{
    if (output.snapshot) {
        const HardState hard = output.hard.value_or(m_hard);
        BOOST_LEAF_CHECK(compact(*output.snapshot, hard, output.entries));
        return {};
    }
    Bytes batch;
    if (output.hard) {
        m_hard = *output.hard;
        appendBatchItem(batch, encodeMessage(LogRecord(*output.hard)));
    }
    for (const LogEntry &entry : output.entries) {
        appendBatchItem(batch, encodeMessage(LogRecord(entry)));
    }
    if (batch.empty()) {
        return {};
    }
    Bytes bytes;
    appendFramed(bytes, BatchMagic, batch);
    return append(bytes);
}

leaf::result<void> RaftStorage::compact(const Snapshot &snapshot, const HardState &hard, std::span<const LogEntry> rest)
{
    m_hard = hard;
    BOOST_LEAF_CHECK(mapFileErrors([&] {
        return replaceFile(m_folder / SnapshotFile, encodeChecksummed(snapshot));
    }));
    Bytes batch;
    appendBatchItem(batch, encodeMessage(LogRecord(hard)));
    for (const LogEntry &entry : rest) {
        appendBatchItem(batch, encodeMessage(LogRecord(entry)));
    }
    Bytes bytes;
    appendFramed(bytes, BatchMagic, batch);
    BOOST_LEAF_CHECK(mapFileErrors([&] {
        return replaceFile(m_folder / LogFile, bytes);
    }));
    m_logBytes = bytes.size();
    return openLog();
}

std::uint64_t RaftStorage::logBytes() const
{
    return m_logBytes;
}

leaf::result<void> RaftStorage::append(BytesView bytes)
{
    BOOST_LEAF_CHECK(mapFileErrors([&] {
        return appendAndSync(m_log, m_folder / LogFile, bytes);
    }));
    m_logBytes += bytes.size();
    return {};
}

} // namespace Robinrail
