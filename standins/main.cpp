#include "http/h2oclient.h"
#include "settings/nodesettings.h"
#include "standins/deploymentstandin.h"
#include "standins/platformstandin.h"
#include "standins/runnerstandin.h"
#include "standins/workerstandin.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>
#include <sstream>

namespace options = boost::program_options;
using namespace sardinerun;

namespace {

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');)
        parts.push_back(part);
    return parts;
}

core::HostPort platformOf(const options::variables_map& values)
{
    return settings::parseHostPort(values["platform"].as<std::string>()).value_or(core::HostPort { "127.0.0.1", 9000 });
}

standins::WorkersOptions workersOptions(const options::variables_map& values)
{
    standins::WorkersOptions it;
    it.platform = platformOf(values);
    it.count = values["count"].as<int>();
    it.firstPort = values["port"].as<std::uint16_t>();
    it.capacity = { core::MilliCpu(values["cpu"].as<int>()), core::MebiBytes(values["memory"].as<int>()),
        core::Accelerators(values["accelerators"].as<int>()) };
    it.perRack = values["per-rack"].as<int>();
    it.failureDomains = split(values["domains"].as<std::string>());
    it.lease = std::chrono::milliseconds(values["lease-ms"].as<int>());
    it.usedPercent = values["used-percent"].as<int>();
    it.prefix = values["prefix"].as<std::string>();
    return it;
}

standins::RunnersOptions runnersOptions(const options::variables_map& values)
{
    standins::RunnersOptions it;
    it.platform = platformOf(values);
    it.count = values["count"].as<int>();
    it.firstPort = values["port"].as<std::uint16_t>();
    it.service = core::ServiceId(values["service"].as<std::string>());
    it.slots = core::Slots(values["slots"].as<int>());
    it.work = std::chrono::milliseconds(values["work-ms"].as<int>());
    it.failureDomains = split(values["domains"].as<std::string>());
    return it;
}

standins::DeploymentOptions deploymentOptions(const options::variables_map& values)
{
    standins::DeploymentOptions it;
    it.firstPort = values["port"].as<std::uint16_t>();
    it.workers = values["count"].as<int>();
    it.capacity = { core::MilliCpu(values["cpu"].as<int>()), core::MebiBytes(values["memory"].as<int>()),
        core::Accelerators(values["accelerators"].as<int>()) };
    it.perRack = values["per-rack"].as<int>();
    it.service = core::ServiceId(values["service"].as<std::string>());
    return it;
}

options::options_description describe()
{
    options::options_description all("sardinerun-standins platform|workers|runners|deployment");
    auto add = all.add_options();
    add("role", options::value<std::string>()->required(), "platform, workers, runners or deployment");
    add("port", options::value<std::uint16_t>()->default_value(0), "first port; 0 selects free ports");
    add("platform", options::value<std::string>()->default_value("127.0.0.1:9000"), "address of the platform stand-in");
    add("count", options::value<int>()->default_value(8), "number of workers or runners");
    add("cpu", options::value<int>()->default_value(32000), "CPU of a worker, in thousandths of a core");
    add("memory", options::value<int>()->default_value(131072), "memory of a worker, in MiB");
    add("accelerators", options::value<int>()->default_value(0), "accelerators of a worker");
    add("per-rack", options::value<int>()->default_value(8), "workers in a rack");
    add("domains", options::value<std::string>()->default_value("a,b,c"), "failure domains, separated by commas");
    add("lease-ms", options::value<int>()->default_value(10000), "lease of a worker's tasks, in ms");
    add("used-percent", options::value<int>()->default_value(0),
        "resource use that workers report, in percent of the declared need; 0 reports none");
    add("prefix", options::value<std::string>()->default_value("worker"), "prefix of the workers' names");
    add("service", options::value<std::string>()->default_value("lid-orders"), "service of the runners");
    add("slots", options::value<int>()->default_value(8), "slots of a runner");
    add("work-ms", options::value<int>()->default_value(10), "time that a runner needs for a request, in ms");
    return all;
}

void waitForSignal(const sigset_t& signals)
{
    int signal = 0;
    sigwait(&signals, &signal);
}

} // namespace

int main(int argc, char** argv)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    try {
        const options::options_description description = describe();
        options::positional_options_description positions;
        positions.add("role", 1);
        options::variables_map values;
        options::store(
            options::command_line_parser(argc, argv).options(description).positional(positions).run(), values);
        options::notify(values);
        const std::string role = values["role"].as<std::string>();
        auto loop = runtime::EventLoop::create(role, runtime::systemClock()).value();
        const auto client = http::createClient(loop);
        std::shared_ptr<void> standin;
        if (role == "platform")
            standin = standins::startPlatform(loop, values["port"].as<std::uint16_t>());
        else if (role == "workers")
            standin = standins::startWorkers(loop, client, workersOptions(values));
        else if (role == "runners")
            standin = standins::startRunners(loop, client, runnersOptions(values));
        else if (role == "deployment")
            standin = standins::startDeployment(loop, deploymentOptions(values));
        else
            throw options::error("unknown role; expected platform, workers, runners or deployment, got " + role);
        loop->start();
        std::cerr << role << " ready" << std::endl;
        waitForSignal(signals);
        loop->stop();
        return 0;
    } catch (const options::error& it) {
        std::cerr << it.what() << "\n" << describe() << "\n";
        return 2;
    }
}
