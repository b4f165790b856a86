//! Reads of the state of a job.

#include "scheduling/internal/engineimpl.h"

#include <algorithm>

namespace sardinerun::scheduling {

namespace {

using workflow::answerOf;
using workflow::WorkflowOutcome;
using workflow::WorkflowResult;

//! Callers often ask when the last task of their job ends. The leader learns of that end some milliseconds later, and
//! persists the final state before it shows it. An answer before would be outdated at once, and the caller would learn
//! of the result only with its next question.
constexpr core::Duration endingHold = std::chrono::milliseconds(40);
//! The same for a final state that is being persisted; a slow store takes longer than callers should wait.
constexpr core::Duration persistingHold = std::chrono::milliseconds(150);
//! A caller with less time than this is answered at once.
constexpr core::Duration minCallerTimeout = std::chrono::milliseconds(600);

WorkflowResult stateOf(const Job& job)
{
    WorkflowResult answer = answerOf(WorkflowOutcome::Found);
    answer.state = job.visibleState;
    return answer;
}

bool isBeingPersisted(const Job& job)
{
    return job.hasEnded() && job.visibleState != job.record.state;
}

} // namespace

void EngineImpl::read(const workflow::WorkflowCall& call, const AnswerCallback& callback)
{
    const JobPtr job = jobOf(call.spec.id);
    if (matchesNoQueue(call, job)) {
        callback(answerOf(WorkflowOutcome::NoQueue));
        return;
    }
    if (const auto denial = denialOf(call, job)) {
        callback(answerOf(*denial));
        return;
    }
    if (!job || !job->isPersisted) {
        callback(answerUnknownJob());
        return;
    }
    const bool mayWait = call.timeout >= minCallerTimeout && m_log->isUp();
    if (mayWait && isBeingPersisted(*job))
        holdRead(job, callback, persistingHold);
    else if (mayWait && mayEndSoon(*job))
        holdRead(job, callback, endingHold);
    else
        callback(stateOf(*job));
}

bool EngineImpl::mayEndSoon(const Job& job)
{
    if (job.hasEnded())
        return false;
    return std::all_of(job.stages.begin() + std::ptrdiff_t(job.firstUndone), job.stages.end(), [&job](const Stage& it) {
        return it.isDone() || (it.live > 0 && it.pending == 0 && !job.stepOf(it).isLongRunning);
    });
}

void EngineImpl::holdRead(const JobPtr& job, const AnswerCallback& callback, core::Duration duration)
{
    const auto held = std::make_shared<AnswerCallback>(callback);
    job->heldReads.push_back(held);
    m_dependencies.loop->callAfter(duration, [self = weak_from_this(), job, held, duration] {
        const auto it = self.lock();
        if (!it || !*held)
            return;
        const AnswerCallback answer = std::exchange(*held, nullptr);
        std::erase(job->heldReads, held);
        if (duration < persistingHold && isBeingPersisted(*job))
            it->holdRead(job, answer, persistingHold);
        else
            answer(stateOf(*job));
    });
}

void EngineImpl::answerHeldReads(Job& job)
{
    for (const auto& it : std::exchange(job.heldReads, {})) {
        if (const AnswerCallback answer = std::exchange(*it, nullptr))
            answer(stateOf(job));
    }
}

} // namespace sardinerun::scheduling
