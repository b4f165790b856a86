#include "configuration/configuration.h"

#include <algorithm>

namespace sardinerun::configuration {

namespace {

bool isUnderPrefix(const std::string& path, const std::string& prefix)
{
    return path.starts_with(prefix)
        && (path.size() == prefix.size() || path[prefix.size()] == '/' || prefix.ends_with('/'));
}

Route routeOf(const Service& service, const std::string& method, const std::string& path)
{
    for (const Route& it : service.routes) {
        if ((it.method == "*" || it.method == method) && isUnderPrefix(path, it.path))
            return it;
    }
    return Route { method, "/", false, jobs::Urgency::Normal };
}

std::optional<std::string> pathBelowService(const Service& service, const std::string& host, const std::string& path)
{
    if (std::find(service.hosts.begin(), service.hosts.end(), host) != service.hosts.end())
        return path;
    if (service.pathPrefix.empty() || !isUnderPrefix(path, service.pathPrefix))
        return std::nullopt;
    const std::string rest = path.substr(service.pathPrefix.size());
    return rest.empty() ? "/" : rest;
}

} // namespace

Preset makeTransitionPreset(const Configuration& configuration)
{
    Preset it;
    it.name = core::PresetName(noPreset);
    it.mayBorrow = false;
    it.usage.floorPercent = 100;
    bool isFirst = true;
    for (const auto& [name, preset] : configuration.presets) {
        for (const jobs::Urgency urgency : jobs::allUrgencies) {
            const std::size_t n = jobs::indexOf(urgency);
            it.shares.percent[n]
                = isFirst ? preset.shares.percent[n] : std::min(it.shares.percent[n], preset.shares.percent[n]);
        }
        isFirst = false;
    }
    return it;
}

std::optional<Match> match(
    const Configuration& configuration, const std::string& host, const std::string& method, const std::string& path)
{
    for (const Service& it : configuration.services) {
        if (const auto servicePath = pathBelowService(it, host, path))
            return Match { &it, routeOf(it, method, *servicePath), *servicePath };
    }
    return std::nullopt;
}

} // namespace sardinerun::configuration
