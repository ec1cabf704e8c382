// SPDX-License-Identifier: MIT
// Log: one line of key=value pairs for each event, through easylogging++.
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
    std::string file; // Empty: standard output, where lines that the reader is too slow for are dropped.
};

// Lines that were dropped because standard output could not take them.
std::uint64_t droppedLogLines();

// Sets level and place; call once before the first line. Without a file nothing is written to disk.
void configureLog(const LogSettings &settings);

// Builds one line and writes it at the end of the statement:
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
