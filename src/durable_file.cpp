// SPDX-License-Identifier: MIT
// Durable files: implementation on POSIX calls.
#include "durable_file.h"

#include <boost/leaf/error.hpp>

#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace Robinrail {

namespace leaf = boost::leaf;

namespace {

// Closes a file descriptor at the end of a scope.
class ScopedDescriptor
{
public:
    explicit ScopedDescriptor(int number)
        : m_number(number)
    {
    }
    ScopedDescriptor(const ScopedDescriptor &) = delete;
    ScopedDescriptor &operator=(const ScopedDescriptor &) = delete;
    ~ScopedDescriptor()
    {
        if (m_number >= 0) {
            ::close(m_number);
        }
    }
    int number() const
    {
        return m_number;
    }

private:
    int m_number;
};

leaf::error_id failure(FileError error, const std::filesystem::path &path)
{
    return leaf::new_error(error, FileErrorContext{path.string(), errno});
}

} // namespace

leaf::result<std::optional<Bytes>> readFile(const std::filesystem::path &path)
{
    const ScopedDescriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (file.number() < 0) {
        if (errno == ENOENT) {
            return std::optional<Bytes>();
        }
        return failure(FileError::Open, path);
    }
    constexpr std::size_t ChunkSize = std::size_t{64} << 10U;
    Bytes bytes;
    for (;;) {
        const std::size_t before = bytes.size();
        bytes.resize(before + ChunkSize);
        const ssize_t got = ::read(file.number(), bytes.data() + before, ChunkSize);
        if (got < 0) {
            return failure(FileError::Read, path);
        }
        bytes.resize(before + static_cast<std::size_t>(got));
        if (bytes.size() > MaxFileSize) {
            errno = EFBIG;
            return failure(FileError::Read, path);
        }
        if (got == 0) {
            return std::optional<Bytes>(std::move(bytes));
        }
    }
}

leaf::result<void> appendAndSync(int descriptor, const std::filesystem::path &path, BytesView bytes)
{
    while (!bytes.empty()) {
        const ssize_t written = ::write(descriptor, bytes.data(), bytes.size());
        if (written <= 0) {
            return failure(FileError::Write, path);
        }
        bytes = bytes.subspan(static_cast<std::size_t>(written));
    }
    if (::fdatasync(descriptor) != 0) {
        return failure(FileError::Sync, path);
    }
    return {};
}

leaf::result<void> replaceFile(const std::filesystem::path &path, BytesView bytes)
{
    std::filesystem::path temporary = path;
    temporary += ".new";
    {
        constexpr int OwnerOnly = 0600;
        const ScopedDescriptor file(::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, OwnerOnly));
        if (file.number() < 0) {
            return failure(FileError::Open, temporary);
        }
        BOOST_LEAF_CHECK(appendAndSync(file.number(), temporary, bytes));
    }
    if (::rename(temporary.c_str(), path.c_str()) != 0) {
        return failure(FileError::Rename, path);
    }
    return syncFolder(path.parent_path());
}

leaf::result<void> syncFile(const std::filesystem::path &path)
{
    const ScopedDescriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (file.number() < 0 && errno == ENOENT) {
        return {};
    }
    if (file.number() < 0) {
        return failure(FileError::Open, path);
    }
    if (::fsync(file.number()) != 0) {
        return failure(FileError::Sync, path);
    }
    return {};
}

leaf::result<void> syncFolder(const std::filesystem::path &folder)
{
    const ScopedDescriptor directory(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (directory.number() < 0) {
        return failure(FileError::Open, folder);
    }
    if (::fsync(directory.number()) != 0) {
        return failure(FileError::Sync, folder);
    }
    return {};
}

} // namespace Robinrail
