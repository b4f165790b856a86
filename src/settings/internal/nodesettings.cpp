#include "settings/nodesettings.h"

#include "codec/yaml.h"
#include "core/numbers.h"

#include <arpa/inet.h>

namespace sardinerun::settings {

namespace {

using codec::YamlReader;

constexpr std::size_t minSecretLength = 16;

core::HostPort readAddress(YamlReader& reader, const char* key)
{
    const auto address = parseHostPort(reader.text(key));
    if (!address)
        reader.fail(key, "must be an IP address and port, such as 10.0.0.1:8080");
    return *address;
}

core::Duration readMs(YamlReader& reader, const char* key, std::int64_t min, std::int64_t max, core::Duration fallback)
{
    const std::int64_t fallbackMs = fallback / std::chrono::milliseconds(1);
    return std::chrono::milliseconds(reader.integerOr(key, min, max, fallbackMs));
}

Listener readListener(YamlReader reader)
{
    Listener it;
    it.address = readAddress(reader, "address");
    if (reader.has("certificate") || reader.has("key"))
        it.tls = http::TlsFiles { reader.text("certificate"), reader.text("key") };
    reader.finish();
    return it;
}

void readMembership(YamlReader reader, membership::MembershipTimes& times)
{
    times.lease = readMs(reader, "leaseMs", 500, 10'000, times.lease);
    times.renewInterval = readMs(reader, "renewMs", 50, 5'000, times.renewInterval);
    times.refreshInterval = readMs(reader, "lookMs", 50, 5'000, times.refreshInterval);
    times.margin = readMs(reader, "marginMs", 50, 5'000, times.margin);
    if (times.renewInterval * 2 > times.lease)
        reader.fail("leaseMs", "must be at least twice renewMs");
    reader.finish();
}

void readWorkers(YamlReader reader, partition::PartitionTimes& times)
{
    times.heartbeat = readMs(reader, "heartbeatMs", 50, 10'000, times.heartbeat);
    times.workerTimeout = readMs(reader, "patienceMs", 100, 600'000, times.workerTimeout);
    times.workerLease = readMs(reader, "leaseMs", 500, 600'000, times.workerLease);
    reader.finish();
}

void readLog(YamlReader reader, acceptance::LogOptions& options)
{
    options.groupInterval = readMs(reader, "groupMs", 1, 1000, options.groupInterval);
    options.compactAboveRows = static_cast<std::size_t>(
        reader.integerOr("compactAboveRows", 8, 10'000, std::int64_t(options.compactAboveRows)));
    reader.finish();
}

void readRetention(YamlReader reader, partition::PartitionTimes& times)
{
    times.jobRetention = std::chrono::seconds(reader.integerOr("jobsSeconds", 10, 86'400, 600));
    times.once.retention = std::chrono::seconds(reader.integerOr("answersSeconds", 60, 86'400, 600));
    reader.finish();
}

} // namespace

std::optional<core::HostPort> parseHostPort(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon + 1 == text.size())
        return std::nullopt;
    const auto port = core::parseUnsigned(std::string_view(text).substr(colon + 1), UINT16_MAX);
    in_addr ignored {};
    core::HostPort it { text.substr(0, colon), 0 };
    if (!port || inet_pton(AF_INET, it.host.c_str(), &ignored) != 1)
        return std::nullopt;
    it.port = static_cast<std::uint16_t>(*port);
    return it;
}

NodeSettings readNodeSettings(const std::string& text, const std::string& file)
{
    YamlReader reader = YamlReader::parse(text, file);
    NodeSettings it;
    it.node = core::NodeId(reader.name("node"));
    it.failureDomain = core::FailureDomainId(reader.name("failureDomain"));
    it.callers = readListener(reader.object("callers"));
    it.inner = readAddress(reader, "inner");
    it.platform = readAddress(reader, "platform");
    it.innerSecret = reader.text("innerSecret");
    if (it.innerSecret.size() < minSecretLength)
        reader.fail("innerSecret", "must have at least 16 characters");
    it.mayAdministerFromLoopback = reader.flagOr("administerFromLoopback", false);
    it.partitions = static_cast<std::uint32_t>(reader.integerOr("partitions", 1, 1024, it.partitions));
    it.maxBodyBytes = static_cast<std::size_t>(reader.integerOr("maxBodyBytes", 1024, 64 << 20, 1 << 20));
    it.memoryBytes = static_cast<std::size_t>(reader.integerOr("memoryMb", 32, 1 << 20, 512)) << 20;
    it.maxDescriptors = static_cast<std::size_t>(reader.integerOr("maxDescriptors", 64, 1 << 20, 4096));
    it.maxResponseBytes = static_cast<std::size_t>(reader.integerOr("maxResponseBytes", 1024, 64 << 20, 4 << 20));
    it.stopWithin = std::chrono::seconds(reader.integerOr("stopWithinSeconds", 1, 600, 35));
    readMembership(reader.objectOr("membership"), it.membership);
    readWorkers(reader.objectOr("workers"), it.partition);
    readLog(reader.objectOr("log"), it.partition.log);
    readRetention(reader.objectOr("retention"), it.partition);
    reader.finish();
    return it;
}

} // namespace sardinerun::settings
