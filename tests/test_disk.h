// SPDX-License-Identifier: MIT
// Test disk: a data folder for one test case, and a disk that is full.
#pragma once

#include <csignal>
#include <cstdint>
#include <filesystem>
#include <string>
#include <sys/resource.h>
#include <unistd.h>

namespace Robinrail {

// A folder of its own for each case, removed at the end.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "robinrail-test-XXXXXX").string();
        m_path = ::mkdtemp(pattern.data());
    }
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;
    ~TemporaryFolder()
    {
        std::filesystem::remove_all(m_path);
    }
    const std::filesystem::path &path() const
    {
        return m_path;
    }

private:
    std::filesystem::path m_path;
};

// As long as it lives, files of this process can't grow beyond a size: writes fail as on a full disk.
class FullDisk
{
public:
    explicit FullDisk(std::uint64_t bytes)
    {
        std::signal(SIGXFSZ, SIG_IGN);
        ::getrlimit(RLIMIT_FSIZE, &m_before);
        rlimit small = m_before;
        small.rlim_cur = bytes;
        ::setrlimit(RLIMIT_FSIZE, &small);
    }
    FullDisk(const FullDisk &) = delete;
    FullDisk &operator=(const FullDisk &) = delete;
    ~FullDisk()
    {
        ::setrlimit(RLIMIT_FSIZE, &m_before);
    }

private:
    rlimit m_before{};
};

} // namespace Robinrail
