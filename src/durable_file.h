// SPDX-License-Identifier: MIT
// Durable files: reads whole files and replaces them atomically, so that a crash leaves either the old or the new content.
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

// Path of the file that failed, and errno.
struct FileErrorContext {
    std::string path;
    int errorNumber = 0;
};

// Largest file that readFile() accepts, bytes; keeps a device or an oversized file from exhausting memory.
inline constexpr std::size_t MaxFileSize = std::size_t{512} << 20U;

// Content of a file; an empty optional if it does not exist, FileError::Read with EFBIG if it exceeds MaxFileSize.
boost::leaf::result<std::optional<Bytes>> readFile(const std::filesystem::path &path);

// Replaces a file atomically: writes a temporary file, syncs it, renames it to `path` and syncs the folder.
boost::leaf::result<void> replaceFile(const std::filesystem::path &path, BytesView bytes);

// Appends all bytes to an open file and syncs its data. `path` is used for errors only.
boost::leaf::result<void> appendAndSync(int descriptor, const std::filesystem::path &path, BytesView bytes);

// Syncs the content of a file, whichever process wrote it; nothing is done if it does not exist.
boost::leaf::result<void> syncFile(const std::filesystem::path &path);

// Syncs a folder, so that files created or renamed in it survive a crash.
boost::leaf::result<void> syncFolder(const std::filesystem::path &folder);

} // namespace Robinrail
