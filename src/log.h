// SPDX-License-Identifier: MIT
// Log: writes one line of key=value pairs per event through easylogging++.
#pragma once

#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>

namespace Robinrail {

enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

struct LogSettings {
    LogLevel level = LogLevel::Info;
    std::string file; // Empty: standard output, where lines are dropped if the reader is too slow.
};

// Number of lines dropped because a write to standard output would have blocked.
std::uint64_t droppedLogLines();

// Sets the level and the destination; call once, before the first line. Without a file name nothing is written to disk.
void configureLog(const LogSettings &settings);

namespace detail {

// A value as it stands in a line: unchanged if it is plain, otherwise as a JSON string.
std::string quoteIfNeeded(const std::string &text);

} // namespace detail

// Collects the fields of one line, which the destructor writes at the end of the statement:
// LogLine(LogLevel::Info, "bundle-applied").with("version", 7);
class LogLine
{
public:
    LogLine(LogLevel level, std::string_view event);
    ~LogLine();
    LogLine(const LogLine &) = delete;
    LogLine &operator=(const LogLine &) = delete;

    template<typename T>
    LogLine &with(std::string_view key, const T &content)
    {
        std::ostringstream text;
        text << content;
        add(key, text.str());
        return *this;
    }

private:
    void add(std::string_view key, const std::string &text);

    LogLevel m_level;
    std::string m_line;
};

} // namespace Robinrail
