//! Fuzzes the decoders of external input. The first byte selects the decoder.

#include "platform/internal/decoders.h"
#include "api/internal/jobbody.h"
#include "codec/json.h"
#include "codec/yaml.h"
#include "configuration/configuration.h"
#include "membership/cellcodec.h"
#include "platform/internal/workeranswers.h"
#include "protocol/messagecodec.h"
#include "protocol/rpccodec.h"
#include "protocol/workcodec.h"
#include "services/servicescodec.h"
#include "settings/nodesettings.h"
#include "telemetry/trace.h"
#include "workflow/workflowcodec.h"

#include <array>
#include <cstdint>

using namespace sardinerun;

namespace {

void fuzzBatch(const std::string& text)
{
    for (const protocol::RpcCall& it : protocol::decodeBatch(text, protocol::allMethods()))
        protocol::decodeParams(it.method, it.params);
}

void fuzzParams(const std::string& text)
{
    const Json::Value value = codec::parseJson(text);
    for (const char* it : protocol::allMethods()) {
        try {
            protocol::decodeParams(it, value);
        } catch (const codec::DecodeError&) {
            continue;
        }
    }
}

constexpr std::array<void (*)(const std::string&), 18> decoders {
    [](const std::string& it) { settings::readNodeSettings(it, "f"); },
    [](const std::string& it) { configuration::readConfiguration(it, "f"); },
    [](const std::string& it) { api::readSubmission(it, core::WallTime(0)); },
    [](const std::string& it) { fuzzBatch(it); },
    [](const std::string& it) { fuzzParams(it); },
    [](const std::string& it) { services::decodeReport(it); },
    [](const std::string& it) { services::decodeVms(it); },
    [](const std::string& it) { membership::decodeCell(services::decodeRows(it)); },
    [](const std::string& it) { services::decodeTransaction(it); },
    [](const std::string& it) { telemetry::TraceContext::parse(it); },
    [](const std::string& it) { platform::decodeWorker("w", it); },
    [](const std::string& it) { platform::decodeConfig(it); },
    [](const std::string& it) { platform::decodeSubmission(core::JobId("0123456789abcdef"), it); },
    [](const std::string& it) { workflow::decodeJob(it); },
    [](const std::string& it) { protocol::decodeCall(it); },
    [](const std::string& it) { protocol::decodeAdvicePoll(it); },
    [](const std::string& it) { protocol::decodeLeaderHint(it); },
    [](const std::string& it) { platform::decodeReport(it); },
};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size == 0)
        return 0;
    const std::string text(reinterpret_cast<const char*>(data) + 1, size - 1);
    try {
        decoders[data[0] % decoders.size()](text);
    } catch (const codec::DecodeError&) {
    } catch (const codec::YamlError&) {
    } catch (const protocol::RpcError&) {
    }
    return 0;
}
