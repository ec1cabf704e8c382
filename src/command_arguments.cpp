// SPDX-License-Identifier: MIT
// Command arguments: implementation.
#include "command_arguments.h"

#include "operator_client.h"

namespace Robinrail {

namespace leaf = boost::leaf;

leaf::error_id badInput(std::string text)
{
    return leaf::new_error(ClientError::BadInput, ClientErrorMessage{std::move(text)});
}

bool hasArgument(const CommandArguments &arguments, const std::string &name)
{
    const auto at = arguments.find(name);
    return at != arguments.end() && at->second && (!at->second.isBool() || at->second.asBool());
}

std::string stringArgument(const CommandArguments &arguments, const std::string &name, const std::string &fallback)
{
    return hasArgument(arguments, name) ? arguments.at(name).asString() : fallback;
}

leaf::result<std::uint64_t> numberArgument(const CommandArguments &arguments, const std::string &name)
{
    const std::string text = stringArgument(arguments, name);
    std::size_t used = 0;
    std::uint64_t number = 0;
    try {
        number = std::stoull(text, &used);
    } catch (const std::exception &) {
        used = 0;
    }
    if (text.empty() || text.front() == '-' || used != text.size()) {
        return badInput(name + ": found \"" + text + "\", expected a number");
    }
    return number;
}

} // namespace Robinrail
