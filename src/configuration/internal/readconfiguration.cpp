#include "codec/yaml.h"
#include "configuration/configuration.h"

#include <algorithm>
#include <set>

namespace sardinerun::configuration {

namespace {

using codec::YamlReader;
using teams::Role;
using teams::Team;

//! Below MembershipTimes::maxRequestTime and ClaimTimes::maxRunTime, after which a request is known to have ended.
constexpr std::int64_t maxTimeoutMs = 25'000;

template <class Value>
Value readNamed(YamlReader& reader, const char* key, std::optional<Value> (*valueOf)(std::string_view), Value fallback,
    const char* allowed)
{
    const std::string text = reader.textOr(key, "");
    if (text.empty())
        return fallback;
    const auto value = valueOf(text);
    if (!value)
        reader.fail(key, std::string("must be one of ") + allowed);
    return *value;
}

std::optional<Role> roleOf(std::string_view name)
{
    if (name == "caller")
        return Role::Caller;
    if (name == "submitter")
        return Role::Submitter;
    if (name == "operator")
        return Role::Operator;
    return std::nullopt;
}

Route readRoute(YamlReader& reader)
{
    Route it;
    it.method = reader.textOr("method", "*");
    it.path = reader.textOr("path", "/");
    if (!it.path.starts_with('/'))
        reader.fail("path", "must begin with '/'");
    it.isRepeatable = reader.flagOr("repeatable", false);
    it.urgency = readNamed(reader, "urgency", jobs::urgencyOf, jobs::Urgency::Normal, "urgent, normal, low");
    it.timeout = std::chrono::milliseconds(reader.integerOr("timeoutMs", 1, maxTimeoutMs, 5000));
    reader.finish();
    return it;
}

Service readService(YamlReader& reader)
{
    Service it;
    it.id = core::ServiceId(reader.name("name"));
    it.hosts = reader.texts("hosts");
    it.pathPrefix = reader.textOr("pathPrefix", "");
    if (!it.pathPrefix.empty() && (!it.pathPrefix.starts_with('/') || it.pathPrefix.ends_with('/')))
        reader.fail("pathPrefix", "must begin with '/' and not end with it");
    if (it.pathPrefix == "/v1" || it.pathPrefix.starts_with("/v1/"))
        reader.fail("pathPrefix", "must not lie below /v1, which is the interface of sardinerun itself");
    if (it.hosts.empty() && it.pathPrefix.empty())
        reader.fail("name", "needs hosts or a pathPrefix");
    it.isOpen = reader.flagOr("open", false);
    for (YamlReader& route : reader.objects("routes"))
        it.routes.push_back(readRoute(route));
    reader.finish();
    return it;
}

teams::Key readToken(YamlReader& reader)
{
    teams::Key it;
    it.digest = teams::KeyDigest(reader.text("sha256"));
    const bool isHex = it.digest.value().find_first_not_of("0123456789abcdef") == std::string::npos;
    if (it.digest.value().size() != 64 || !isHex)
        reader.fail("sha256", "must be 64 digits of lower-case hex");
    it.role = readNamed(reader, "role", roleOf, Role::Caller, "caller, submitter, operator");
    reader.finish();
    return it;
}

Team readTeam(YamlReader& reader)
{
    Team it;
    it.id = core::TeamId(reader.name("name"));
    it.weight = static_cast<int>(reader.integerOr("weight", 1, 1000, 1));
    for (YamlReader& token : reader.objects("tokens"))
        it.keys.push_back(readToken(token));
    reader.finish();
    return it;
}

placement::GuaranteedShares readShares(YamlReader reader)
{
    placement::GuaranteedShares it;
    int sum = 0;
    for (const jobs::Urgency urgency : jobs::allUrgencies) {
        int& percent = it.percent[jobs::indexOf(urgency)];
        percent = static_cast<int>(reader.integer(jobs::nameOf(urgency), 0, 100));
        sum += percent;
    }
    if (sum > 100)
        reader.fail("urgent", "shares must not sum to more than 100");
    reader.finish();
    return it;
}

admission::QueueLimits readQueues(YamlReader reader)
{
    constexpr std::int64_t maxJobs = 1'000'000;
    admission::QueueLimits it;
    for (const jobs::Urgency urgency : jobs::allUrgencies) {
        std::uint32_t& limit = it.jobs[jobs::indexOf(urgency)];
        limit = static_cast<std::uint32_t>(reader.integerOr(jobs::nameOf(urgency), 1, maxJobs, limit));
    }
    it.jobsPerTeam = static_cast<std::uint32_t>(reader.integerOr("perTeam", 1, maxJobs, it.jobsPerTeam));
    constexpr std::int64_t maxWaitLimitMs = 24LL * 3600 * 1000;
    YamlReader waits = reader.objectOr("maxWaitMs");
    for (const jobs::Urgency urgency : jobs::allUrgencies)
        it.maxWait[jobs::indexOf(urgency)]
            = std::chrono::milliseconds(waits.integerOr(jobs::nameOf(urgency), 0, maxWaitLimitMs, 0));
    waits.finish();
    reader.finish();
    return it;
}

RequestPolicy readRequests(YamlReader reader)
{
    RequestPolicy it;
    it.queue = static_cast<std::uint32_t>(reader.integerOr("queue", 0, 100'000, it.queue));
    it.maxWait = std::chrono::milliseconds(reader.integerOr("maxWaitMs", 0, 10'000, 1000));
    it.retryPercent = static_cast<int>(reader.integerOr("retryPercent", 0, 100, it.retryPercent));
    reader.finish();
    return it;
}

Preset readPreset(const std::string& name, YamlReader reader)
{
    Preset it;
    it.name = core::PresetName(name);
    it.placement = readNamed(reader, "placement", placement::strategyKindOf, placement::StrategyKind::DominantFit,
        "bestFit, dominantFit, leastLoaded, firstFit");
    it.shares = readShares(reader.object("shares"));
    it.mayBorrow = reader.flagOr("mayBorrow", true);
    YamlReader usage = reader.objectOr("usage");
    it.usage.floorPercent = static_cast<int>(usage.integerOr("floorPercent", 10, 100, it.usage.floorPercent));
    it.usage.marginPercent = static_cast<int>(usage.integerOr("marginPercent", 0, 100, it.usage.marginPercent));
    usage.finish();
    it.queues = readQueues(reader.objectOr("queues"));
    it.requests = readRequests(reader.objectOr("requests"));
    reader.finish();
    return it;
}

void rejectDuplicates(const YamlReader& reader, const Configuration& configuration)
{
    std::set<core::ServiceId> services;
    for (const Service& it : configuration.services) {
        if (!services.insert(it.id).second)
            reader.fail("services", "has the name " + it.id.value() + " twice");
    }
    std::set<core::TeamId> teams;
    std::set<teams::KeyDigest> tokens;
    for (const Team& it : configuration.teams) {
        if (!teams.insert(it.id).second)
            reader.fail("teams", "has the name " + it.id.value() + " twice");
        for (const teams::Key& token : it.keys) {
            if (!tokens.insert(token.digest).second)
                reader.fail("teams", "has one token twice");
        }
    }
}

} // namespace

Configuration readConfiguration(const std::string& text, const std::string& file)
{
    YamlReader reader = YamlReader::parse(text, file);
    Configuration it;
    for (YamlReader& service : reader.objects("services"))
        it.services.push_back(readService(service));
    for (YamlReader& team : reader.objects("teams"))
        it.teams.push_back(readTeam(team));
    YamlReader presets = reader.object("presets");
    for (const std::string& name : presets.entryNames()) {
        if (name == noPreset || name.empty() || name.size() > 64)
            presets.fail(name, "is not a name that a preset may have");
        it.presets.emplace(core::PresetName(name), readPreset(name, presets.object(name.c_str())));
    }
    if (it.presets.empty())
        reader.fail("presets", "must name at least one preset");
    rejectDuplicates(reader, it);
    it.keys = teams::KeyRing(it.teams);
    reader.finish();
    return it;
}

} // namespace sardinerun::configuration
