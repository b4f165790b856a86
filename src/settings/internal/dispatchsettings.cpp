#include "settings/dispatchsettings.h"

#include "codec/yaml.h"
#include "settings/nodesettings.h"

#include <algorithm>

namespace sardinerun::settings {

namespace {

using codec::YamlReader;

constexpr double maxSeconds = 3600;

core::HostPort addressOf(YamlReader& reader, const char* key)
{
    const auto address = parseHostPort(reader.text(key));
    if (!address)
        reader.fail(key, "must be an IP address and port, such as 10.0.0.1:8080");
    return *address;
}

core::Duration secondsOr(YamlReader& reader, const char* key, core::Duration fallback)
{
    const double seconds = reader.numberOr(key, 0, maxSeconds, std::chrono::duration<double>(fallback).count());
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds));
}

core::Duration millisOr(YamlReader& reader, const char* key, core::Duration fallback)
{
    const double ms = reader.numberOr(key, 0, maxSeconds * 1000, double(fallback / std::chrono::milliseconds(1)));
    return core::Duration(std::int64_t(ms * 1000));
}

void readWorkers(YamlReader reader, scheduling::SchedulingTimes& times)
{
    times.longestLease = millisOr(reader, "longestLeaseMs", times.longestLease);
    times.lease = std::min(millisOr(reader, "leaseMs", times.lease), times.longestLease);
    times.stopGrace = millisOr(reader, "stopGraceMs", times.stopGrace);
    times.restoreTime = millisOr(reader, "restoreMs", times.restoreTime);
    times.gangTimeout = millisOr(reader, "gangPatienceMs", times.gangTimeout);
    times.jobRetention = secondsOr(reader, "jobRetentionS", times.jobRetention);
    reader.finish();
    if (times.renewalWait * 2 > times.lease)
        reader.fail("leaseMs", "must be at least 2000, twice the maximum wait of a lease renewal (1000 ms)");
}

void readTeams(YamlReader reader, teams::RatePolicy& policy)
{
    constexpr double maxSlack = 1e6;
    policy.window = secondsOr(reader, "rateWindowS", policy.window);
    policy.slack = reader.numberOr("rateSlack", 1, maxSlack, policy.slack);
    reader.finish();
}

} // namespace

DispatchSettings readDispatchSettings(const std::string& text, const std::string& file)
{
    YamlReader reader = YamlReader::parse(text, file);
    DispatchSettings it;
    it.node = core::NodeId(reader.name("node"));
    it.failureDomain = core::FailureDomainId(reader.name("failureDomain"));
    it.callers = addressOf(reader, "callers");
    it.readiness = addressOf(reader, "readiness");
    it.inner = addressOf(reader, "inner");
    it.store = addressOf(reader, "store");
    if (!reader.textOr("advice", "").empty())
        it.advice = addressOf(reader, "advice");
    it.cpuShare = reader.numberOr("processorShare", 0.01, 1024, it.cpuShare);
    it.stopWithin = secondsOr(reader, "stopWithinS", it.stopWithin);
    it.isRevokeStrict = reader.flagOr("strictRevoke", it.isRevokeStrict);
    it.revokeWithin = millisOr(reader, "revokeMs", it.revokeWithin);
    it.learnsRunTimes = reader.flagOr("learnRunTimes", it.learnsRunTimes);
    it.maxBodyBytes = static_cast<std::size_t>(
        reader.integerOr("maxBodyBytes", 1024, std::int64_t(64) << 20, std::int64_t(it.maxBodyBytes)));
    it.memoryBytes = static_cast<std::size_t>(reader.integerOr("memoryMb", 32, 1 << 20, 512)) << 20;
    it.maxDescriptors = static_cast<std::size_t>(reader.integerOr("maxDescriptors", 64, 1 << 20, 4096));
    readWorkers(reader.objectOr("workers"), it.scheduling);
    readTeams(reader.objectOr("teams"), it.rates);
    reader.finish();
    return it;
}

} // namespace sardinerun::settings
