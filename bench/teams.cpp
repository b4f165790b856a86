//! Measures the cost of one start decision among teams, with 100,000 pending tasks: for the work queue of `serve`, and
//! for the fair order of `dispatch`.

#include "admission/workqueue.h"
#include "scheduling/fairorder.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <random>

using namespace sardinerun;

namespace {

using Clock = std::chrono::steady_clock;
constexpr int pendingTasks = 100'000;
constexpr int decisions = 50'000;
//! About as many stages as one round of a leader places.
constexpr int placedPerRound = 200;

double microsSince(Clock::time_point from)
{
    return std::chrono::duration<double, std::micro>(Clock::now() - from).count();
}

core::TeamId team(int n)
{
    return core::TeamId("team-" + std::to_string(n));
}

struct Figures {
    double p50 = 0; //!< microseconds
    double p99 = 0; //!< microseconds
};

Figures figuresOf(std::vector<double> micros)
{
    std::sort(micros.begin(), micros.end());
    return { micros[micros.size() / 2], micros[micros.size() * 99 / 100] };
}

//! A pick, the start of the job and the change of its team's usage. An earlier job ends and a new one comes for each,
//! which is not measured.
Figures measureWorkQueue(int teams, unsigned seed)
{
    std::mt19937 random(seed);
    admission::WorkQueue queue;
    std::unordered_map<core::TeamId, double> used;
    admission::PickContext context;
    context.ofTeam = [&used](const core::TeamId& it) { return used[it]; };
    const core::TimePoint now { std::chrono::hours(1) };
    int jobs = 0;
    std::unordered_map<core::JobId, core::TeamId> teamOf;
    const auto push = [&] {
        const core::JobId id("j" + std::to_string(++jobs));
        teamOf[id] = team(int(random() % unsigned(teams)));
        queue.push({ id, teamOf[id], jobs::Urgency::Normal, {}, now });
    };
    while (jobs < pendingTasks)
        push();
    queue.pick(now, {}, context);
    std::vector<double> micros;
    for (int n = 0; n < decisions; ++n) {
        const core::TeamId ended = team(int(random() % unsigned(teams)));
        used[ended] = std::max(0.0, used[ended] - 1);
        queue.onUsageChanged(ended);
        push();
        const auto from = Clock::now();
        const core::JobId id = *queue.pick(now, {}, context);
        const core::TeamId& owner = teamOf.at(id);
        queue.remove(id);
        used[owner] += 1;
        queue.onUsageChanged(owner);
        micros.push_back(microsSince(from));
    }
    return figuresOf(std::move(micros));
}

struct OrderFigures {
    double build = 0; //!< microseconds for each waiting stage, once per round
    double next = 0; //!< microseconds for each placed stage
    double all = 0; //!< microseconds for each stage if all are ordered
};

OrderFigures measureFairOrder(int teams, unsigned seed)
{
    std::mt19937 random(seed);
    teams::UsageLedger usage;
    std::vector<teams::Team> list;
    list.resize(std::size_t(teams));
    for (int n = 0; n < teams; ++n)
        list[std::size_t(n)].id = team(n);
    usage.setTeams(list);
    usage.setCapacity({ core::MilliCpu(5'600'000), core::MebiBytes(11'200'000), {} });
    for (int n = 0; n < teams; ++n)
        usage.add(team(n), { core::MilliCpu(std::int64_t(random() % 11'200'000) / teams), {}, {} });
    std::vector<scheduling::WaitingWork> work;
    work.reserve(pendingTasks);
    for (int n = 0; n < pendingTasks; ++n)
        work.push_back({ team(int(random() % unsigned(teams))), { core::MilliCpu(2000), core::MebiBytes(1000), {} },
            core::TimePoint(std::chrono::milliseconds(n)) });
    OrderFigures it;
    constexpr int rounds = 10;
    for (int n = 0; n < rounds; ++n) {
        auto from = Clock::now();
        scheduling::FairOrder order(work, usage);
        it.build += microsSince(from) / pendingTasks / rounds;
        from = Clock::now();
        for (int placed = 0; placed < placedPerRound; ++placed)
            order.next();
        it.next += microsSince(from) / placedPerRound / rounds;
        from = Clock::now();
        scheduling::fairOrder(work, usage);
        it.all += microsSince(from) / pendingTasks / rounds;
    }
    return it;
}

} // namespace

int main()
{
    std::printf("teams, seed, work queue p50 us, p99 us, fair order: us a waiting stage, us a placed stage, us a stage "
                "if all are ordered\n");
    for (const int teams : { 20, 180, 2000 }) {
        for (const unsigned seed : { 1U, 2U, 3U }) {
            const Figures queue = measureWorkQueue(teams, seed);
            const OrderFigures order = measureFairOrder(teams, seed);
            std::printf("%5d %u %8.2f %8.2f %8.3f %8.2f %8.3f\n", teams, seed, queue.p50, queue.p99, order.build,
                order.next, order.all);
        }
    }
    return 0;
}
