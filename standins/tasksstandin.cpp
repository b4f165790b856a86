#include "standins/tasksstandin.h"

#include "platform/internal/wire.h"

#include <algorithm>
#include <map>

namespace sardinerun::standins {

namespace {

using fleet::OrderFailure;
using platform::integerOf;
using platform::textOf;

//! The client decides how long it waits; an answer is sent even if it does not wait any more.
constexpr fleet::OrderPatience answerWheneverReady { std::chrono::seconds(30), std::chrono::seconds(30) };

const char* reasonText(OrderFailure::Code code)
{
    static const std::map<OrderFailure::Code, const char*> it { { OrderFailure::Code::Fenced, "fence" },
        { OrderFailure::Code::Outdated, "old" }, { OrderFailure::Code::Late, "late" } };
    return it.at(code);
}

const char* endKindText(fleet::EndKind kind)
{
    static const std::map<fleet::EndKind, const char*> it { { fleet::EndKind::Done, "done" },
        { fleet::EndKind::Failed, "failed" }, { fleet::EndKind::Stopped, "stopped" },
        { fleet::EndKind::LeaseExpired, "lapsed" }, { fleet::EndKind::GangMemberEnded, "broken" },
        { fleet::EndKind::GangIncomplete, "alone" } };
    return it.at(kind);
}

fleet::TaskId taskOf(const std::string& text)
{
    const std::size_t last = text.rfind('.');
    const std::size_t middle = text.rfind('.', last - 1);
    const std::size_t first = text.rfind('.', middle - 1);
    const auto number = [&text](std::size_t at) { return static_cast<std::uint32_t>(std::stoul(text.substr(at + 1))); };
    return { core::JobId(text.substr(0, first)), number(first), number(middle), number(last) };
}

fleet::RunId runOf(const Json::Value& body)
{
    return { taskOf(textOf(body, "task")), fleet::RunNumber(integerOf(body, "run")) };
}

core::Epoch fenceOf(const Json::Value& body)
{
    return core::Epoch(static_cast<std::uint64_t>(integerOf(body, "fence_token")));
}

Json::Value encodeReport(const fleet::WorkerReport& report)
{
    Json::Value body(Json::objectValue);
    body["clock_ms"] = Json::Int64(report.clock.value());
    body["born"] = Json::Int64(report.startedAt.value());
    body["running"] = Json::Value(Json::arrayValue);
    body["ended_runs"] = Json::Value(Json::arrayValue);
    for (const fleet::RunningRun& it : report.running) {
        Json::Value row(Json::arrayValue);
        row.append(fleet::textOf(it.runId.task));
        row.append(Json::Int64(it.runId.run.value()));
        row.append(it.checkpoint);
        row.append(it.percent);
        body["running"].append(row);
    }
    for (const fleet::EndedRun& it : report.ended) {
        Json::Value row(Json::arrayValue);
        row.append(Json::Int64(it.number.value()));
        row.append(fleet::textOf(it.runId.task));
        row.append(Json::Int64(it.runId.run.value()));
        row.append(endKindText(it.kind));
        row.append(it.checkpoint);
        body["ended_runs"].append(row);
    }
    return body;
}

} // namespace

TasksStandin::TasksStandin(const runtime::EventLoopPtr& loop)
    : m_loop(loop)
    , m_workers(std::make_shared<fleet::testing::FakeWorkers>(loop))
{
    m_workers->started
        = [this](fleet::testing::FakeWorker& worker, const fleet::StartOrder& order) { onStarted(worker, order); };
    m_workers->endAcknowledged = [this](const fleet::EndedRun& end) {
        if (end.kind == fleet::EndKind::Done)
            onDoneAcknowledged(end.runId);
    };
}

void TasksStandin::handle(const core::VmId& id, const http::Request& request, http::Responder responder)
{
    using Handle = void (TasksStandin::*)(const core::VmId&, const Json::Value&, http::Responder);
    static const std::map<std::string, Handle> handlers { { "/run-start", &TasksStandin::start },
        { "/run-stop", &TasksStandin::stop }, { "/hold", &TasksStandin::renewLease } };
    const auto it = handlers.find(request.path);
    if (it == handlers.end())
        responder.send({ 404, {}, "", {} });
    else if (http::findHeader(request.headers, "x-expect-instance") != id.value())
        responder.send({ 421, {}, "", {} });
    else
        (this->*it->second)(id, codec::parseJson(request.body), std::move(responder));
}

void TasksStandin::start(const core::VmId& id, const Json::Value& body, http::Responder responder)
{
    fleet::StartOrder order;
    order.runId = runOf(body);
    order.payload = textOf(body, "spec");
    order.leaseUntil = fleet::WorkerClock(integerOf(body, "deadline_ms"));
    order.fence = fenceOf(body);
    order.checkpoint = textOf(body, "last_checkpoint");
    order.incarnationSeenAt = m_loop->now(); // received by the current incarnation
    order.patience = answerWheneverReady;
    m_workers->start({ id, {} }, order, resultHandler(id, std::move(responder)));
}

void TasksStandin::stop(const core::VmId& id, const Json::Value& body, http::Responder responder)
{
    m_workers->stop(
        { id, {} }, { runOf(body), fenceOf(body), answerWheneverReady }, resultHandler(id, std::move(responder)));
}

void TasksStandin::renewLease(const core::VmId& id, const Json::Value& body, http::Responder responder)
{
    fleet::LeaseRenewal order;
    order.fence = fenceOf(body);
    order.acknowledgedUpTo = fleet::EndNumber(integerOf(body, "last_seen"));
    if (body.isMember("deadline_ms"))
        order.leaseUntil = fleet::WorkerClock(integerOf(body, "deadline_ms"));
    order.wait = std::chrono::milliseconds(integerOf(body, "wait_ms"));
    order.incarnationSeenAt = m_loop->now(); // received by the current incarnation
    order.patience = answerWheneverReady;
    m_workers->renewLease({ id, {} }, order, [this, id, responder](const fleet::LeaseRenewalResult& result) mutable {
        if (result)
            responder.send(jsonResponse(200, encodeReport(result.value())));
        else
            sendRejection(id, result.error(), std::move(responder));
    });
}

std::function<void(fleet::OrderResult)> TasksStandin::resultHandler(const core::VmId& id, http::Responder responder)
{
    return [this, id, responder = std::move(responder)](const fleet::OrderResult& result) mutable {
        if (!result) {
            sendRejection(id, result.error(), std::move(responder));
            return;
        }
        Json::Value body(Json::objectValue);
        body["clock_ms"] = Json::Int64(result.value().value());
        responder.send(jsonResponse(200, body));
    };
}

void TasksStandin::sendRejection(const core::VmId& id, const OrderFailure& failure, http::Responder responder)
{
    if (failure.code == OrderFailure::Code::Unknown) {
        leaveUnanswered(std::move(responder));
        return;
    }
    Json::Value body(Json::objectValue);
    body["clock_ms"] = Json::Int64(m_workers->clockOf(worker(id)));
    body["reason"] = reasonText(failure.code);
    responder.send(jsonResponse(409, body));
}

void TasksStandin::leaveUnanswered(http::Responder responder)
{
    m_unanswered.push_back(std::move(responder));
}

void TasksStandin::onStarted(fleet::testing::FakeWorker& worker, const fleet::StartOrder& order)
{
    ++m_starts;
    m_startedJobs.insert(order.runId.task.job);
    const fleet::TaskId& task = order.runId.task;
    if (m_completedTasks.contains(task) || isRunningElsewhere(worker, task))
        m_tasksRunTwice.push_back(fleet::textOf(task));
    m_lastStarts[task] = m_loop->now();
    const core::Duration work = std::chrono::milliseconds(std::stoll("0" + order.payload));
    m_loop->callAfter(work, [this, &worker, run = order.runId, startedAt = worker.startedAt] {
        // A run that outlasts the lease ended with the lease; the next lease renewal reports it as lapsed.
        if (worker.startedAt == startedAt && worker.running.contains(run)
            && m_workers->clockOf(worker) <= worker.leaseUntil) {
            worker.end(run, fleet::EndKind::Done);
            m_doneRuns[run] = { &worker, m_workers->clockOf(worker), m_loop->now() };
        }
    });
}

//! Records the task if it was started after the end that is acknowledged only now. The end does not count if the
//! worker's lease was over in the meantime.
void TasksStandin::onDoneAcknowledged(const fleet::RunId& run)
{
    m_completedTasks.insert(run.task);
    const auto node = m_doneRuns.extract(run);
    if (node.empty())
        return;
    const DoneRun& it = node.mapped();
    const bool isLeaseOver = it.worker->leaseUntil < m_workers->clockOf(*it.worker)
        || (it.worker->lapsedAt && *it.worker->lapsedAt >= it.workerClock);
    if (!isLeaseOver && m_lastStarts[run.task] > it.at)
        m_tasksRunTwice.push_back(fleet::textOf(run.task));
}

bool TasksStandin::isRunningElsewhere(const fleet::testing::FakeWorker& worker, const fleet::TaskId& task) const
{
    return std::any_of(m_workers->workers.begin(), m_workers->workers.end(), [&](const auto& entry) {
        const fleet::testing::FakeWorker& other = entry.second;
        if (&other == &worker || other.leaseUntil < m_workers->clockOf(other))
            return false;
        return std::any_of(
            other.running.begin(), other.running.end(), [&task](const auto& run) { return run.first.task == task; });
    });
}

Json::Value TasksStandin::stats() const
{
    Json::Value to(Json::objectValue);
    to["starts"] = Json::UInt64(m_starts);
    to["done"] = Json::UInt64(m_completedTasks.size());
    to["twice"] = Json::Value(Json::arrayValue);
    for (const std::string& it : m_tasksRunTwice)
        to["twice"].append(it);
    to["startedJobs"] = Json::Value(Json::arrayValue);
    for (const core::JobId& it : m_startedJobs)
        to["startedJobs"].append(it.value());
    to["workersAtWork"] = Json::Value(Json::arrayValue);
    to["runningTasks"] = Json::Value(Json::arrayValue);
    std::uint64_t running = 0;
    std::uint64_t highestFence = 0;
    for (const auto& [id, it] : m_workers->workers) {
        running += it.running.size();
        if (!it.running.empty())
            to["workersAtWork"].append(id.value());
        highestFence = std::max(highestFence, it.fence);
        if (it.leaseUntil < m_workers->clockOf(it))
            continue; // its runs have ended with the lease
        for (const auto& [run, state] : it.running)
            to["runningTasks"].append(fleet::textOf(run.task));
    }
    to["running"] = Json::UInt64(running);
    to["highestFence"] = Json::UInt64(highestFence);
    return to;
}

} // namespace sardinerun::standins
