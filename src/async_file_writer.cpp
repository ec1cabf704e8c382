// SPDX-License-Identifier: MIT
// Asynchronous file writer: implementation.
#include "async_file_writer.h"

#include "durable_file.h"
#include "log.h"

#include <boost/asio/post.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <system_error>

namespace Robinrail {

namespace leaf = boost::leaf;

AsyncFileWriter::AsyncFileWriter(std::filesystem::path path)
    : m_path(std::move(path))
    , m_pool(1)
{
}

AsyncFileWriter::~AsyncFileWriter()
{
    m_pool.join();
}

bool AsyncFileWriter::replace(Bytes bytes)
{
    if (m_busy.exchange(true)) {
        return false;
    }
    boost::asio::post(m_pool, [this, bytes = std::move(bytes)] {
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                return replaceFile(m_path, bytes);
            },
            [this](const FileErrorContext &context) {
                ++m_failures;
                const std::string reason = std::generic_category().message(context.errorNumber);
                LogLine(LogLevel::Warning, "file-not-replaced").with("file", context.path).with("reason", reason);
            },
            [this](const leaf::error_info &info) {
                ++m_failures;
                LogLine(LogLevel::Warning, "file-not-replaced").with("file", m_path.string()).with("error", info.error().value());
            });
        m_busy = false;
    });
    return true;
}

std::uint64_t AsyncFileWriter::failures() const
{
    return m_failures;
}

} // namespace Robinrail
