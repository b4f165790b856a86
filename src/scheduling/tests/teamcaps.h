#pragma once

#include "scheduling/tests/cell.h"

#include <array>
#include <limits>

namespace sardinerun::scheduling::testing {

//! Applies submissions, ends, faults, changes of leader and changes of caps, each selected by a number, and checks each
//! start that a worker carries out against the cap of its team.
class CapsRun {
public:
    CapsRun();

    void apply(std::uint32_t n);
    //! Ends all faults and raises the caps again; all accepted jobs must be completed then.
    void finish();

    std::vector<std::string> faults; //!< what must never happen

private:
    //! A cap, and when it came into force.
    struct CapSince {
        core::TimePoint at {};
        core::Resources cap;
    };
    struct KnownJob {
        std::string team;
        workflow::JobSpec spec;
        core::Resources capWhenAccepted;
        bool isCancelled = false;
        bool hasStarted = false;
    };

    workflow::JobSpec newJob(std::uint32_t n, std::uint32_t count);
    void submit(const std::string& team, const workflow::JobSpec& spec);
    void submitWide(std::uint32_t n);
    void submitGang(std::uint32_t n);
    void submitLongRunning(std::uint32_t n);
    void submitOnSpareCpu(std::uint32_t n);
    void submitWithCheckpoints(std::uint32_t n);
    void submitSteps(std::uint32_t n);
    void endRuns(std::uint32_t n);
    void cancel(std::uint32_t n);
    void loseStartAnswers(std::uint32_t n);
    void delayStarts(std::uint32_t n);
    void carryOutDelayedStarts(std::uint32_t n);
    void toggleSilence(std::uint32_t n);
    void silenceBusyWorkers(std::uint32_t n);
    void restartWorker(std::uint32_t n);
    void toggleListing(std::uint32_t n);
    void changeLeader(std::uint32_t n);
    void changeLeaderThrice(std::uint32_t n);
    void toggleStore(std::uint32_t n);
    void loseReports(std::uint32_t n);
    void cutOff(std::uint32_t n);
    void takeOver(std::uint32_t n);
    void heal(std::uint32_t n);
    void changeCap(std::uint32_t n);
    void dropTeam(std::uint32_t n);

    void lead();
    void configure();
    FakeWorker& workerAt(std::uint32_t n) { return m_cell.worker("w" + std::to_string(n % workerCount + 1)); }
    void onStarted(const fleet::StartOrder& order);
    core::Resources runningOf(const std::string& team) const;
    //! Returns the highest cap that may be in force.
    core::Resources capOf(const std::string& team) const;
    bool isAllCompleted();

    static constexpr std::uint32_t workerCount = 8;
    Cell m_cell;
    std::vector<fleet::WorkerEntry> m_entries; //!< of all workers, also of unlisted ones
    std::map<core::JobId, KnownJob> m_jobs;
    std::map<std::string, std::vector<CapSince>> m_caps;
    std::set<std::string> m_dropped;
    std::set<std::uint32_t> m_unlisted;
    std::set<fleet::RunId> m_lateRuns; //!< of orders that a worker carried out late; no leader can prevent them
    bool m_isLate = false;
};

inline core::Resources capped(std::int64_t milliCpu, std::int64_t mebiBytes = 0)
{
    return { core::MilliCpu(milliCpu), core::MebiBytes(mebiBytes), core::Accelerators(0) };
}

inline CapsRun::CapsRun()
{
    m_cell.queue.isPublic = false;
    m_cell.queue.stretch = 1000; // nothing is refused because it would be late
    m_cell.queue.latencyTarget = ms(600'000);
    m_cell.queue.maxAttempts = 1000;
    m_cell.workers->pollPeriod = ms(20);
    for (std::uint32_t n = 3; n <= workerCount; ++n)
        m_cell.addWorker("w" + std::to_string(n));
    for (fleet::WorkerEntry& it : m_cell.entries)
        it.capacity.cpu = core::MilliCpu(1000);
    for (std::uint32_t n = 0; n < workerCount; ++n) {
        workerAt(n).startedAt = fleet::WorkerStartTime(1); // 0 would mean that restarts are not noticed
        workerAt(n).stopDelay = ms(600);
    }
    m_entries = m_cell.entries;
    m_cell.workers->started = [this](FakeWorker&, const fleet::StartOrder& order) { onStarted(order); };
    m_caps["a"] = { { {}, capped(3000) } };
    m_caps["b"] = { { {}, capped(0, 400) } };
    m_caps["c"] = { { {}, capped(0) } };
    configure();
    lead();
}

inline void CapsRun::apply(std::uint32_t n)
{
    using Action = void (CapsRun::*)(std::uint32_t);
    static constexpr std::array<Action, 37> actions { &CapsRun::submitWide, &CapsRun::submitWide, &CapsRun::submitWide,
        &CapsRun::submitGang, &CapsRun::submitGang, &CapsRun::submitLongRunning, &CapsRun::submitOnSpareCpu,
        &CapsRun::submitOnSpareCpu, &CapsRun::submitWithCheckpoints, &CapsRun::submitSteps, &CapsRun::submitSteps,
        &CapsRun::endRuns, &CapsRun::endRuns, &CapsRun::endRuns, &CapsRun::endRuns, &CapsRun::endRuns,
        &CapsRun::silenceBusyWorkers, &CapsRun::cancel, &CapsRun::loseStartAnswers, &CapsRun::delayStarts,
        &CapsRun::carryOutDelayedStarts, &CapsRun::toggleSilence, &CapsRun::restartWorker, &CapsRun::toggleListing,
        &CapsRun::changeLeader, &CapsRun::changeLeaderThrice, &CapsRun::changeCap, &CapsRun::dropTeam,
        &CapsRun::toggleStore, &CapsRun::loseReports, &CapsRun::loseReports, &CapsRun::cutOff, &CapsRun::cutOff,
        &CapsRun::takeOver, &CapsRun::takeOver, &CapsRun::takeOver, &CapsRun::heal };
    (this->*actions[n % actions.size()])(n / actions.size());
    m_cell.advance(ms(std::array { 1, 10, 100, 400 }[n / 100'000 % 4]));
}

inline workflow::JobSpec CapsRun::newJob(std::uint32_t n, std::uint32_t count)
{
    auto spec = jobOf("j" + std::to_string(m_jobs.size()), count, n % 2 == 0 ? 250 : 500);
    spec.steps[0].estimate = ms(300 + n % 5 * 400);
    return spec;
}

inline void CapsRun::submit(const std::string& team, const workflow::JobSpec& spec)
{
    if (!m_cell.engine)
        return;
    // A job whose answer is lost may run, too.
    m_jobs[spec.id] = { team, spec, capOf(team), false, false };
    const auto outcome = m_cell.submitFor(team, spec).outcome;
    m_jobs[spec.id].isCancelled = outcome != workflow::WorkflowOutcome::Accepted;
    if (outcome == workflow::WorkflowOutcome::NoKey) // dropped teams have no keys
        m_jobs[spec.id].capWhenAccepted = {};
}

inline void CapsRun::submitWide(std::uint32_t n)
{
    submit(n % 3 == 0 ? "b" : "a", newJob(n / 3, 2 + n / 6 % 12));
}

inline void CapsRun::submitGang(std::uint32_t n)
{
    auto spec = newJob(n / 3, 2 + n / 6 % 2);
    spec.steps[0].isGang = true;
    submit(n % 3 == 0 ? "b" : "a", spec);
}

inline void CapsRun::submitLongRunning(std::uint32_t n)
{
    auto spec = newJob(n / 3, 1 + n / 6 % 4);
    spec.steps[0].isLongRunning = true;
    submit(n % 3 == 0 ? "c" : "a", spec);
}

inline void CapsRun::submitOnSpareCpu(std::uint32_t n)
{
    auto spec = newJob(n / 3, 2 + n / 6 % 10);
    spec.steps[0].usesSpareCpu = true;
    submit("a", spec);
}

inline void CapsRun::submitWithCheckpoints(std::uint32_t n)
{
    auto spec = newJob(n / 3, 1 + n / 6 % 6);
    spec.steps[0].savesCheckpoints = true;
    submit(n % 3 == 0 ? "b" : "a", spec);
}

inline void CapsRun::submitSteps(std::uint32_t n)
{
    auto spec = newJob(n / 3, 1);
    workflow::StepSpec second = spec.steps[0];
    second.count = 2 + n / 6 % 8;
    second.after = { 0 };
    spec.steps.push_back(second);
    submit(n % 3 == 0 ? "b" : "a", spec);
}

inline void CapsRun::endRuns(std::uint32_t n)
{
    static constexpr std::array kinds { fleet::EndKind::Done, fleet::EndKind::Done, fleet::EndKind::Failed,
        fleet::EndKind::Stopped };
    FakeWorker& worker = workerAt(n);
    std::uint32_t left = 1 + n / 4 % 4;
    for (const auto& [id, run] : std::map(worker.running)) {
        if (left-- == 0)
            break;
        const auto step = m_jobs.at(id.task.job).spec.steps[id.task.step];
        worker.end(id, kinds[n / 16 % kinds.size()], step.savesCheckpoints ? "kept" : "");
    }
}

inline void CapsRun::cancel(std::uint32_t n)
{
    if (m_jobs.empty() || !m_cell.engine)
        return;
    KnownJob& job = std::next(m_jobs.begin(), std::ptrdiff_t(n % m_jobs.size()))->second;
    job.isCancelled = true;
    m_cell.callEngine(workflow::CallKind::Cancel, job.spec, ms(400), "/q/", job.team);
}

inline void CapsRun::loseStartAnswers(std::uint32_t n)
{
    workerAt(n).losesStarts = int(1 + n / 4 % 4);
}

inline void CapsRun::delayStarts(std::uint32_t n)
{
    workerAt(n).delaysStarts = int(1 + n / 4 % 3);
}

inline void CapsRun::carryOutDelayedStarts(std::uint32_t n)
{
    m_isLate = true;
    m_cell.workers->carryOutDelayedStarts(core::VmId("w" + std::to_string(n % workerCount + 1)));
    m_isLate = false;
}

inline void CapsRun::toggleSilence(std::uint32_t n)
{
    workerAt(n).isSilent = !workerAt(n).isSilent;
}

//! Leaves the workers that run nothing, or all if `n` is odd.
inline void CapsRun::silenceBusyWorkers(std::uint32_t n)
{
    for (auto& [id, it] : m_cell.workers->workers)
        it.isSilent = n % 2 == 0 && !it.running.empty();
}

inline void CapsRun::restartWorker(std::uint32_t n)
{
    workerAt(n).restart(m_cell.loop->now());
}

inline void CapsRun::toggleListing(std::uint32_t n)
{
    if (!m_unlisted.insert(n % workerCount).second)
        m_unlisted.erase(n % workerCount);
    configure();
}

inline void CapsRun::changeLeader(std::uint32_t)
{
    lead();
}

inline void CapsRun::changeLeaderThrice(std::uint32_t)
{
    for (int it = 0; it < 3; ++it)
        lead();
}

//! Some workers carry out start orders without saying so. A job may be cancelled meanwhile.
inline void CapsRun::loseReports(std::uint32_t n)
{
    for (std::uint32_t it = 0; it < workerCount; ++it) {
        workerAt(it).losesReports = n >> it & 1;
        workerAt(it).losesStarts = workerAt(it).losesReports ? 20 : 0;
    }
    submitWide(n / 256);
    m_cell.advance(ms(400));
    if (n / 256 % 2 == 0)
        cancel(n / 512);
    submitWide(n / 256);
}

//! A job is cancelled whose workers receive no stop orders.
inline void CapsRun::cutOff(std::uint32_t n)
{
    silenceBusyWorkers(0);
    cancel(n);
    submitWide(n);
}

//! The next leader does not reach workers that run something, or does not find them in the registry, or the former one
//! was ahead of the store.
inline void CapsRun::takeOver(std::uint32_t n)
{
    if (n % 2 == 0) {
        submitSteps(n / 16);
        m_cell.advance(ms(100));
        m_cell.store->isDown = true;
        m_cell.endAll(fleet::EndKind::Done);
        m_cell.advance(ms(100));
    }
    for (std::uint32_t it = 0; it < workerCount; ++it) {
        workerAt(it).isSilent = !workerAt(it).running.empty();
        if (workerAt(it).isSilent && n / 2 % 2 == 0)
            m_unlisted.insert(it);
    }
    if (n / 4 % 2 == 0)
        cancel(n / 16);
    lead();
    if (n / 8 % 2 == 0)
        heal(0);
    submitWide(n / 16);
}

inline void CapsRun::heal(std::uint32_t)
{
    m_cell.store->isDown = false;
    for (auto& [id, worker] : m_cell.workers->workers) {
        worker.isSilent = false;
        worker.losesReports = false;
        worker.losesStarts = 0;
        worker.delaysStarts = 0;
    }
    m_unlisted.clear();
    configure();
}

//! The store is away, or loses the answer to a write.
inline void CapsRun::toggleStore(std::uint32_t n)
{
    if (n % 2 == 0)
        m_cell.store->isDown = !m_cell.store->isDown;
    else
        m_cell.store->losesAnswers = 1;
}

inline void CapsRun::changeCap(std::uint32_t n)
{
    const std::string team = n % 3 == 0 ? "b" : "a";
    static constexpr std::array<std::int64_t, 4> percents { 30, 70, 100, 200 };
    const std::int64_t percent = percents[n / 3 % percents.size()];
    m_dropped.erase(team);
    m_caps[team].push_back({ m_cell.loop->now(), team == "a" ? capped(30 * percent) : capped(0, 4 * percent) });
    configure();
}

inline void CapsRun::dropTeam(std::uint32_t n)
{
    m_dropped.insert(n % 3 == 0 ? "b" : "a");
    if (n / 3 % 2 == 0)
        m_dropped = { "a", "b", "c" }; // the configuration has no teams at all
    configure();
}

inline void CapsRun::lead()
{
    m_cell.isLeadershipLost = false;
    configure();
    m_cell.engine.reset(); // before the store is back, so what is not persisted is lost
    m_cell.store->isDown = false;
    m_cell.lead(ms(100));
    configure();
}

inline void CapsRun::configure()
{
    m_cell.teams.clear();
    for (const auto& [id, caps] : m_caps) {
        teams::Team team;
        team.id = core::TeamId(id);
        team.cap = caps.back().cap;
        if (!m_dropped.contains(id))
            m_cell.teams.push_back(team);
    }
    m_cell.entries.clear();
    for (std::uint32_t n = 0; n < workerCount; ++n) {
        if (!m_unlisted.contains(n))
            m_cell.entries.push_back(m_entries[n]);
    }
    if (!m_cell.engine)
        return;
    m_cell.configure();
    m_cell.engine->setWorkers(m_cell.entries);
}

inline core::Resources CapsRun::runningOf(const std::string& team) const
{
    core::Resources sum;
    for (const auto& [id, worker] : m_cell.workers->workers) {
        if (m_cell.workers->clockOf(worker) > worker.leaseUntil)
            continue; // its runs are over
        for (const auto& [runId, run] : worker.running) {
            const KnownJob& job = m_jobs.at(runId.task.job);
            if (job.team == team && !m_lateRuns.contains(runId))
                sum = sum + job.spec.steps[runId.task.step].need;
        }
    }
    return sum;
}

inline core::Resources CapsRun::capOf(const std::string& team) const
{
    core::Resources cap;
    const auto raise = [&cap](const core::Resources& to) {
        cap.cpu = std::max(cap.cpu, to.cpu);
        cap.memory = std::max(cap.memory, to.memory);
    };
    const std::vector<CapSince>& all = m_caps.at(team);
    for (std::size_t n = 0; n < all.size(); ++n) {
        const bool isLast = n + 1 == all.size();
        if (isLast || all[n + 1].at + ms(3000) >= m_cell.loop->now())
            raise(all[n].cap);
    }
    if (m_dropped.contains(team)) { // a new leader has only what is stored with the jobs
        for (const auto& [id, job] : m_jobs) {
            if (job.team == team)
                raise(job.capWhenAccepted);
        }
    }
    return cap;
}

inline void CapsRun::onStarted(const fleet::StartOrder& order)
{
    KnownJob& job = m_jobs.at(order.runId.task.job);
    job.hasStarted = true;
    if (m_isLate) {
        m_lateRuns.insert(order.runId);
        return;
    }
    const core::Resources used = runningOf(job.team);
    const core::Resources cap = capOf(job.team);
    const core::Resources task = job.spec.steps[order.runId.task.step].need;
    const auto exceeds = [](std::int64_t amount, std::int64_t limit, std::int64_t one) {
        return limit > 0 && amount > limit * 11 / 10 + one;
    };
    if (exceeds(used.cpu.value(), cap.cpu.value(), task.cpu.value())
        || exceeds(used.memory.value(), cap.memory.value(), task.memory.value()))
        faults.push_back(job.team + " runs " + std::to_string(used.cpu.value()) + " mCPU, "
            + std::to_string(used.memory.value()) + " MB after the start of " + fleet::textOf(order.runId.task));
}

inline bool CapsRun::isAllCompleted()
{
    bool isDone = true;
    for (auto& [id, job] : m_jobs) {
        if (!job.isCancelled && job.hasStarted && job.spec.steps[0].isLongRunning) {
            m_cell.callEngine(workflow::CallKind::Cancel, job.spec, ms(400), "/q/", job.team);
            job.isCancelled = true;
        }
        isDone = isDone
            && (job.isCancelled
                || m_cell.callEngine(workflow::CallKind::Read, job.spec, ms(400), "/q/", job.team).state
                    == workflow::JobState::Completed);
    }
    return isDone;
}

inline void CapsRun::finish()
{
    for (auto& [id, worker] : m_cell.workers->workers)
        worker.delayedStarts.clear();
    heal(0);
    m_dropped.clear();
    m_caps["a"].push_back({ m_cell.loop->now(), capped(3000) });
    m_caps["b"].push_back({ m_cell.loop->now(), capped(0, 400) });
    configure();
    if (m_cell.isLeadershipLost || !m_cell.engine)
        lead();
    for (int n = 0; n < 400 && !isAllCompleted(); ++n) {
        m_cell.advance(ms(100));
        m_cell.endAll(fleet::EndKind::Done);
    }
    for (const auto& [id, job] : m_jobs) {
        if (!job.isCancelled && !job.hasStarted)
            faults.push_back(id.value() + " of " + job.team + " never started");
    }
    if (!isAllCompleted())
        faults.push_back("accepted jobs are not completed");
}

} // namespace sardinerun::scheduling::testing
