// SPDX-License-Identifier: MIT
// Fuzz target: whole HTTP requests, announcements and routing documents go through the parser, the handler and the serializer of
// the control API, with a replica node that is not started: it has no sockets and no storage, so changes and reads are answered
// 503 after they were validated.
//
// An exception from the handler would be answered 500, which is a failure here: input must be refused by the handler itself. The
// handlers run on a small stack, so that recursion whose depth the input determines fails with short inputs.
#include "control_api.h"
#include "log.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <pthread.h>

using namespace Robinrail;

namespace {

SteeringSettings replicaSettings()
{
    SteeringSettings settings;
    settings.node = "replica-1";
    settings.dataCentres = {"ktm-lalit", "ktm-thamel"};
    settings.dataCentre = "ktm-lalit";
    settings.adminListen = {0x7f000001, 8166};
    settings.announceInterval = std::chrono::seconds(1);
    settings.dataFolder = "/nonexistent/robinrail-fuzz";
    return settings;
}

void require(bool holds, const char *what, const std::string &response)
{
    if (!holds) {
        std::cerr << what << ":\n" << response << '\n';
        std::abort();
    }
}

void handle(ReplicaNode &node, const std::string &bytes)
{
    const std::string response = handleHttpBytes(bytes, [&node](const HttpRequest &request, const HttpResponder &respond) {
        Platform::handleControlRequest(node, request, respond);
    });
    require(!response.starts_with("HTTP/1.1 500"), "an exception left the handler", response);
    const std::size_t body = response.find("\r\n\r\n");
    if (response.find("\r\nContent-Type: application/json\r\n") < body) {
        require(nlohmann::json::accept(response.substr(body + 4)), "the body is not JSON", response);
    }
}

// A thirty-second of the default, which suffices for all handlers with the sanitizers' larger frames.
constexpr std::size_t StackBytes = std::size_t{512} * 1024;

void *runFunction(void *function)
{
    (*static_cast<std::function<void()> *>(function))();
    return nullptr;
}

void runOnSmallStack(std::function<void()> function)
{
    pthread_attr_t attributes;
    pthread_t thread{};
    pthread_attr_init(&attributes);
    if (pthread_attr_setstacksize(&attributes, StackBytes) != 0 || pthread_create(&thread, &attributes, runFunction, &function) != 0) {
        std::abort();
    }
    pthread_join(thread, nullptr);
    pthread_attr_destroy(&attributes);
}

std::string requestWith(const std::string &line, std::string_view body)
{
    return line + " HTTP/1.1\r\nHost: r\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

} // namespace

extern "C" int LLVMFuzzerInitialize(int * /*argc*/, char *** /*argv*/)
{
    LogSettings settings;
    settings.level = LogLevel::Error; // One line for each refused call would slow the fuzzer down.
    configureLog(settings);
    return 0;
}

namespace {

void handleAll(const std::string &text)
{
    // A new node for each input, so that a failure depends on one input only.
    boost::asio::io_context io;
    ReplicaNode node(io, replicaSettings());
    handle(node, text);
    handle(node, requestWith("PUT /instances/i-7f3a91c2", text));
    handle(node, requestWith("DELETE /instances/i-7f3a91c2", text));
    handle(node, requestWith("PUT /config", text));
    handle(node, requestWith("GET /" + text, {}));
    handle(node, requestWith("POST /evacuation/" + text, {}));
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    runOnSmallStack([text = std::string(reinterpret_cast<const char *>(data), size)] {
        handleAll(text);
    });
    return 0;
}
