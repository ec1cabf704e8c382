// SPDX-License-Identifier: MIT
// Tests of the Raft storage: recovery after a crash, truncation of torn writes, and detection of damage.
#include "raft_storage.h"
#include "test_disk.h"

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <map>
#include <mutex>
#include <sys/syscall.h>

using namespace Robinrail;
namespace leaf = boost::leaf;
namespace fs = std::filesystem;

namespace {

constexpr ReplicaId Self{1};

LogEntry entryOf(std::uint64_t index, std::uint64_t term)
{
    return {Term{term}, LogIndex{index}, EntryKind::Command, Bytes(20, static_cast<std::uint8_t>(index))};
}

RaftOutput outputOf(std::uint64_t term, std::vector<LogEntry> entries)
{
    RaftOutput output;
    output.hard = HardState{Term{term}, {}};
    output.entries = std::move(entries);
    return output;
}

// Opens the folder and passes the storage to `use`; returns the error of either, if any.
template<typename Use>
std::optional<StorageError> withStorage(const fs::path &folder, Use use)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<StorageError>> {
            BOOST_LEAF_AUTO(storage, RaftStorage::open(folder, Self, 77));
            BOOST_LEAF_CHECK(use(storage));
            return std::optional<StorageError>();
        },
        [](StorageError error) {
            return std::optional(error);
        },
        [] {
            return std::optional(StorageError::Io);
        });
}

void writeThreeEntries(const fs::path &folder)
{
    CHECK_FALSE(withStorage(folder, [](RaftStorage &storage) -> leaf::result<void> {
        CHECK(storage.newlyCreated());
        BOOST_LEAF_CHECK(storage.setCluster(5));
        // Three writes, as each write is one batch.
        BOOST_LEAF_CHECK(storage.persist(outputOf(3, {entryOf(1, 1)})));
        BOOST_LEAF_CHECK(storage.persist(outputOf(3, {entryOf(2, 2)})));
        return storage.persist(outputOf(3, {entryOf(3, 3)}));
    }));
}

std::size_t countEntries(const fs::path &folder)
{
    std::size_t count = 0;
    CHECK_FALSE(withStorage(folder, [&count](RaftStorage &storage) -> leaf::result<void> {
        count = storage.takePersistentState().log.size();
        return {};
    }));
    return count;
}

std::optional<StorageError> openError(const fs::path &folder)
{
    return withStorage(folder, [](RaftStorage &) -> leaf::result<void> {
        return {};
    });
}

std::string contentOf(const fs::path &file)
{
    std::ifstream stream(file, std::ios::binary);
    return {std::istreambuf_iterator<char>(stream), {}};
}

// Records what a disk holds after each sync of this process, and can make the syncs of a file fail. There is one at a time.
class SyncRecorder
{
public:
    SyncRecorder()
    {
        const std::lock_guard lock(mutex());
        current() = this;
    }
    SyncRecorder(const SyncRecorder &) = delete;
    SyncRecorder &operator=(const SyncRecorder &) = delete;
    ~SyncRecorder()
    {
        const std::lock_guard lock(mutex());
        current() = nullptr;
    }

    // Content of a file at its last sync; empty if it was never synced.
    std::optional<std::string> synced(const fs::path &file) const
    {
        const std::lock_guard lock(mutex());
        const auto at = m_synced.find(file);
        return at != m_synced.end() ? std::optional(at->second) : std::nullopt;
    }

    void failSyncsOf(const fs::path &file)
    {
        const std::lock_guard lock(mutex());
        m_failing = file;
    }

    // Called in place of fsync() and fdatasync(), whose system call is `call`.
    static int sync(long call, int descriptor)
    {
        const std::lock_guard lock(mutex());
        if (current() != nullptr) {
            std::error_code ignored;
            const fs::path file = fs::read_symlink("/proc/self/fd/" + std::to_string(descriptor), ignored);
            if (!file.empty() && file == current()->m_failing) {
                errno = EIO;
                return -1;
            }
            current()->m_synced[file] = fs::is_regular_file(file, ignored) ? contentOf(file) : std::string();
        }
        return static_cast<int>(::syscall(call, descriptor));
    }

private:
    static std::mutex &mutex()
    {
        static std::mutex only;
        return only;
    }
    static SyncRecorder *&current()
    {
        static SyncRecorder *only = nullptr;
        return only;
    }

    std::map<fs::path, std::string> m_synced;
    fs::path m_failing;
};

void damage(const fs::path &file, std::uintmax_t at)
{
    std::fstream stream(file, std::ios::in | std::ios::out | std::ios::binary);
    stream.seekp(static_cast<std::streamoff>(at));
    stream.put('\x5a');
    stream.put('\xa5');
}

} // namespace

// Replace the functions of the C library in this program, so that a test sees which files are synced.
extern "C" int fsync(int descriptor)
{
    return SyncRecorder::sync(SYS_fsync, descriptor);
}

extern "C" int fdatasync(int descriptor)
{
    return SyncRecorder::sync(SYS_fdatasync, descriptor);
}

TEST_CASE("persisted state is recovered, and later entries replace earlier ones")
{
    const TemporaryFolder folder;
    writeThreeEntries(folder.path());
    CHECK_FALSE(withStorage(folder.path(), [](RaftStorage &storage) -> leaf::result<void> {
        CHECK_FALSE(storage.newlyCreated());
        CHECK(storage.identity().cluster == 5);
        CHECK(storage.identity().disk == 77);
        return storage.persist(outputOf(4, {entryOf(2, 4)}));
    }));
    CHECK_FALSE(withStorage(folder.path(), [](RaftStorage &storage) -> leaf::result<void> {
        const PersistentRaftState durable = storage.takePersistentState();
        CHECK(durable.hard.term == Term{4});
        REQUIRE(durable.log.size() == 2);
        CHECK(durable.log[1] == entryOf(2, 4));
        return {};
    }));
}

TEST_CASE("a torn record at the end of the log is truncated, whatever its length")
{
    const TemporaryFolder folder;
    writeThreeEntries(folder.path());
    const fs::path log = folder.path() / "log";
    const std::uintmax_t whole = fs::file_size(log);
    for (std::uintmax_t cut = 1; cut < 40; ++cut) {
        fs::resize_file(log, whole - cut);
        CHECK(countEntries(folder.path()) == 2);
        CHECK_FALSE(withStorage(folder.path(), [](RaftStorage &storage) -> leaf::result<void> {
            return storage.persist(outputOf(3, {entryOf(3, 3)}));
        }));
        fs::resize_file(log, fs::file_size(log));
        CHECK(countEntries(folder.path()) == 3);
        fs::remove_all(folder.path());
        writeThreeEntries(folder.path());
    }
}

TEST_CASE("a damaged record before the end of the log is an error")
{
    const TemporaryFolder folder;
    writeThreeEntries(folder.path());
    const fs::path log = folder.path() / "log";
    const std::uintmax_t last = fs::file_size(log) - 60;
    for (std::uintmax_t at = 0; at < last; at += 7) {
        const TemporaryFolder copy;
        fs::copy(folder.path(), copy.path(), fs::copy_options::recursive | fs::copy_options::overwrite_existing);
        damage(copy.path() / "log", at);
        CHECK(openError(copy.path()) == StorageError::DamagedLog);
    }
}

TEST_CASE("a torn write of several entries is truncated as a whole, wherever it is damaged")
{
    const TemporaryFolder folder;
    writeThreeEntries(folder.path());
    const std::uintmax_t before = fs::file_size(folder.path() / "log");
    CHECK_FALSE(withStorage(folder.path(), [](RaftStorage &storage) -> leaf::result<void> {
        return storage.persist(outputOf(3, {entryOf(4, 3), entryOf(5, 3), entryOf(6, 3)}));
    }));
    const std::uintmax_t whole = fs::file_size(folder.path() / "log");
    for (std::uintmax_t at = before; at + 2 < whole; at += 5) {
        const TemporaryFolder copy;
        fs::copy(folder.path(), copy.path(), fs::copy_options::recursive | fs::copy_options::overwrite_existing);
        damage(copy.path() / "log", at);
        CHECK(countEntries(copy.path()) == 3);
    }
}

TEST_CASE("a folder of another cluster or replica, or with a damaged or missing identity, is rejected")
{
    const TemporaryFolder folder;
    writeThreeEntries(folder.path());
    CHECK(withStorage(folder.path(),
                      [](RaftStorage &storage) {
                          return storage.setCluster(6);
                      })
          == StorageError::ForeignFolder);
    const auto other = leaf::try_handle_all(
        [&]() -> leaf::result<StorageError> {
            BOOST_LEAF_CHECK(RaftStorage::open(folder.path(), ReplicaId{2}, 1));
            return StorageError::Io;
        },
        [](StorageError error) {
            return error;
        },
        [] {
            return StorageError::Io;
        });
    CHECK(other == StorageError::ForeignFolder);
    damage(folder.path() / "identity", 20);
    CHECK(openError(folder.path()) == StorageError::DamagedIdentity);
    fs::remove(folder.path() / "identity");
    CHECK(openError(folder.path()) == StorageError::DamagedIdentity);
}

TEST_CASE("a snapshot replaces the log up to its index, and a damaged one is rejected")
{
    const TemporaryFolder folder;
    writeThreeEntries(folder.path());
    CHECK_FALSE(withStorage(folder.path(), [](RaftStorage &storage) -> leaf::result<void> {
        Snapshot snapshot;
        snapshot.index = LogIndex{2};
        snapshot.term = Term{2};
        snapshot.state = {1, 2, 3};
        const LogEntry rest[] = {entryOf(3, 3)};
        const std::uint64_t before = storage.logBytes();
        BOOST_LEAF_CHECK(storage.compact(snapshot, HardState{Term{3}, {}}, rest));
        CHECK(storage.logBytes() < before);
        return {};
    }));
    CHECK_FALSE(withStorage(folder.path(), [](RaftStorage &storage) -> leaf::result<void> {
        const PersistentRaftState durable = storage.takePersistentState();
        CHECK(durable.snapshot->state == Bytes{1, 2, 3});
        CHECK(durable.hard.term == Term{3});
        CHECK(durable.log.size() == 1);
        return {};
    }));
    damage(folder.path() / "snapshot", 18);
    CHECK(openError(folder.path()) == StorageError::DamagedSnapshot);
}

TEST_CASE("a crash between the writes of the snapshot and the log leaves a valid folder")
{
    const TemporaryFolder folder;
    writeThreeEntries(folder.path());
    const TemporaryFolder old;
    fs::copy(folder.path(), old.path(), fs::copy_options::recursive | fs::copy_options::overwrite_existing);
    CHECK_FALSE(withStorage(folder.path(), [](RaftStorage &storage) {
        Snapshot snapshot;
        snapshot.index = LogIndex{2};
        snapshot.term = Term{2};
        return storage.compact(snapshot, HardState{Term{3}, {}}, {});
    }));
    fs::copy_file(old.path() / "log", folder.path() / "log", fs::copy_options::overwrite_existing);
    CHECK(countEntries(folder.path()) == 1);
}

TEST_CASE("a full disk is an error, and entries synced before are kept")
{
    const TemporaryFolder folder;
    writeThreeEntries(folder.path());
    const std::optional<StorageError> error = withStorage(folder.path(), [&](RaftStorage &storage) {
        const FullDisk full(storage.logBytes());
        return storage.persist(outputOf(9, {entryOf(4, 9)}));
    });
    CHECK(error == StorageError::Io);
    CHECK(countEntries(folder.path()) == 3);
}

TEST_CASE("a log of unlimited size is rejected before it exhausts memory")
{
    const TemporaryFolder folder;
    writeThreeEntries(folder.path());
    fs::remove(folder.path() / "log");
    fs::create_symlink("/dev/zero", folder.path() / "log");
    CHECK(openError(folder.path()) == StorageError::Io);
}

// Guards against the loss of an acknowledged entry: a process that is killed between the write and the sync of an entry reads
// it back when it restarts and counts it as durable, and a later power loss removes it.
TEST_CASE("data that a killed process has not synced is synced before it counts as durable")
{
    const TemporaryFolder folder;
    writeThreeEntries(folder.path());
    CHECK_FALSE(withStorage(folder.path(), [](RaftStorage &storage) {
        Snapshot snapshot;
        snapshot.index = LogIndex{1};
        snapshot.term = Term{1};
        const LogEntry rest[] = {entryOf(2, 2), entryOf(3, 3)};
        return storage.compact(snapshot, HardState{Term{3}, {}}, rest);
    }));
    for (const bool torn : {false, true}) {
        const TemporaryFolder killed;
        fs::copy(folder.path(), killed.path(), fs::copy_options::recursive | fs::copy_options::overwrite_existing);
        const std::string whole = contentOf(killed.path() / "log");
        if (torn) {
            std::ofstream(killed.path() / "log", std::ios::app | std::ios::binary) << whole.substr(0, whole.size() / 2);
        }
        const SyncRecorder disk;
        CHECK(countEntries(killed.path()) == 2);
        for (const std::string file : {"identity", "log", "snapshot"}) {
            CAPTURE(file);
            CHECK(disk.synced(killed.path() / file) == contentOf(folder.path() / file));
        }
        CHECK(disk.synced(killed.path())); // The folder, without which a replaced file may return to its former content.
    }
}

TEST_CASE("a folder whose data can not be synced is not opened")
{
    const TemporaryFolder folder;
    writeThreeEntries(folder.path());
    CHECK_FALSE(withStorage(folder.path(), [](RaftStorage &storage) {
        return storage.compact(Snapshot{}, HardState{Term{3}, {}}, {});
    }));
    for (const std::string file : {"identity", "log", "snapshot", ""}) {
        CAPTURE(file);
        SyncRecorder disk;
        disk.failSyncsOf(file.empty() ? folder.path() : folder.path() / file);
        CHECK(openError(folder.path()) == StorageError::Io);
    }
    CHECK_FALSE(openError(folder.path()));
}
