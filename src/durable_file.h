// SPDX-License-Identifier: MIT
// Durable files: reading whole files and replacing them so that a crash leaves the old or the new one.
#pragma once

#include "types.h"

#include <boost/leaf/result.hpp>

#include <filesystem>
#include <optional>
#include <string>

namespace Robinrail {

enum class FileError {
    Open,
    Read,
    Write,
    Sync,
    Rename,
};

// The path that an error is about, and errno.
struct FileErrorContext {
    std::string path;
    int errorNumber = 0;
};

// Largest file that is read whole, bytes. A device or a runaway file must not take all memory.
inline constexpr std::size_t MaxFileSize = std::size_t{512} << 20U;

// The whole file; empty optional if it does not exist, an error if it is larger than MaxFileSize.
boost::leaf::result<std::optional<Bytes>> readFile(const std::filesystem::path &path);

// Writes a temporary file, syncs it, renames it over `path` and syncs the folder.
boost::leaf::result<void> replaceFile(const std::filesystem::path &path, BytesView bytes);

// Writes all bytes at the end of an open file and syncs it.
boost::leaf::result<void> appendAndSync(int descriptor, const std::filesystem::path &path, BytesView bytes);

// Syncs a folder, so that names in it last.
boost::leaf::result<void> syncFolder(const std::filesystem::path &folder);

} // namespace Robinrail
