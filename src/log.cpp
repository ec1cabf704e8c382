// SPDX-License-Identifier: MIT
// Log: configuration of easylogging++, and quoting.
#include "log.h"

#include "non_blocking_line_buffer.h"

#include <easylogging++.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace Robinrail {

namespace {

LogLevel minLevel = LogLevel::Info; // NOLINT(readability-identifier-naming): written only by configureLog()

// Whether a byte can stand in a value without quotes.
bool isPlain(char character)
{
    constexpr char FirstPrintable = '!';
    constexpr char LastPrintable = '~';
    return character >= FirstPrintable && character <= LastPrintable && character != '"' && character != '=' && character != '\\';
}

NonBlockingLineBuffer &standardOutput()
{
    static NonBlockingLineBuffer output(STDOUT_FILENO);
    return output;
}

} // namespace

// Quotes make a line unambiguous. Values may contain any bytes of a request:
// control characters are escaped, and bytes that are not UTF-8 are replaced.
std::string detail::quoteIfNeeded(const std::string &text)
{
    if (!text.empty() && std::all_of(text.begin(), text.end(), isPlain)) {
        return text;
    }
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::uint64_t droppedLogLines()
{
    return standardOutput().dropped();
}

void configureLog(const LogSettings &settings)
{
    minLevel = settings.level;
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    configuration.setGlobally(el::ConfigurationType::ToFile, settings.file.empty() ? "false" : "true");
    if (settings.file.empty()) {
        std::cout.rdbuf(&standardOutput());
        configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    } else {
        configuration.setGlobally(el::ConfigurationType::Filename, settings.file);
    }
    el::Loggers::reconfigureAllLoggers(configuration);
}

LogLine::LogLine(LogLevel level, std::string_view event)
    : m_level(level)
    , m_line("event=" + detail::quoteIfNeeded(std::string(event)))
{
}

LogLine::~LogLine()
{
    if (m_level < minLevel) {
        return;
    }
    switch (m_level) {
    case LogLevel::Debug:
        LOG(DEBUG) << m_line;
        break;
    case LogLevel::Info:
        LOG(INFO) << m_line;
        break;
    case LogLevel::Warning:
        LOG(WARNING) << m_line;
        break;
    case LogLevel::Error:
        LOG(ERROR) << m_line;
        break;
    }
}

void LogLine::add(std::string_view key, const std::string &text)
{
    m_line += ' ';
    m_line += key;
    m_line += '=';
    m_line += detail::quoteIfNeeded(text);
}

} // namespace Robinrail
