/* Leaders in turn: never two runs of the task at once, and never a start after its end was acknowledged, although a superseded
 * leader goes on until its authority is over, and a leader may be cut off from a worker.
 *
 * Time is abstracted into events: the authority of a superseded leader, the validity of an answer that no other node leads, and
 * a lease end at any time unless renewed. Orders take effect at once; starts.pml is of late and lost ones.
 * MUTANT selects a seeded defect. PROGRESS has two leaders, cuts the last one off from one worker for good, and gives the steps
 * processes of their own, so that fairness holds for each. */
#ifndef MUTANT
#define MUTANT 0
#endif
#define NO_LEADER 0 /* the leaders are numbered by their terms, from 1 */
#ifdef PROGRESS
#define LAST 2
#else
#define LAST 3
#endif
#define PENDING 2 /* else the number of the worker on which the leader knows the run */
#define DONE 3

/* The store. */
byte term = NO_LEADER;
bool isSettled = false;
bool isReleased = false;
bool isEndPersisted = false; /* and so acknowledged */

/* The workers. */
byte fence[2];
bool isRunning[2];
bool hasDone[2]; /* an end that is not acknowledged yet */
bool hasLease[8]; /* by worker and the leader that gave it; only while a run is there, so some waits are shorter than they really are */
bool isLate[8]; /* the lease was extended after a later leader had begun to wait for it */

/* The leaders. */
bool isLeading[4];
bool hasAuthority[4];
bool isUnreplaced[4]; /* the other nodes' answer that none of them leads counts */
bool mayBeReleased[4];
bool isPassed[4]; /* the barrier */
bool isBySilence[4]; /* an earlier run may have ended on a worker that was silent, and a later leader may acknowledge its end */
bool hasListed[8]; /* by worker and leader */
bool wasSettled[4]; /* the former leader's row */
bool hasFormerStopped[4]; /* the former leader's row says that it is released, or its node that it does not lead */
bool isWaiting[4]; /* no former leader gives orders or extends leases any more, so a lease has to pass from then on */
byte known[4] = PENDING;
byte cutOff = PENDING; /* the worker that the last leader does not reach */

#define at(w, l) ((w) * 4 + l)
#ifdef PROGRESS
#define reaches(w, l) (isLeading[l] && !(l == LAST && cutOff == w))
#else
#define reaches(w, l) (isLeading[l] && (w == 0 || fence[0] > 0)) /* The worker that is reached first is worker 0. */
#endif
#define isActing(l) (hasAuthority[l] || isUnreplaced[l])
#define isConfirmed(l) (term == l && !isReleased)
#if MUTANT == 1
#define mustConfirmLoss false /* Defect: a run counts as lost without a confirmed write. */
#else
#define mustConfirmLoss true
#endif
#if MUTANT == 2
#define mustConfirmBarrier false /* Defect: the barrier is passed by time without a confirmed write. */
#else
#define mustConfirmBarrier true
#endif
#if MUTANT == 4
#define mayExtend(l) isActing(l) /* Defect: extends leases after a release that may have taken effect. */
#else
#define mayExtend(l) (isActing(l) && !mayBeReleased[l])
#endif
#if MUTANT == 5
#define isReplaced(l) false /* Defect: a leader without authority extends leases although another node leads. */
#else
#define isReplaced(l) (term > l)
#endif
#if MUTANT == 6
#define mayStart(l) true /* Defect: a start that rests on silence comes at any time after the confirmation, as in the code (KNOWN-RED.txt). */
#else
#define mayStart(l) (!isBySilence[l] || isConfirmed(l))
#endif

/* formerAuthorityEnd: no former leader gives orders or extends leases. */
#if MUTANT == 3
#define areEarlierOver(l) true /* Defect: a former leader that has stopped counts for those before it although it has not settled. */
#else
#define areEarlierOver(l) (wasSettled[l] || l < 3 || !isActing(1))
#endif
#define isAuthorityOver(l) ((hasFormerStopped[l] || !isActing(l - 1)) && areEarlierOver(l))
#define isAwaited(l) ((l < 2 && isWaiting[2]) || (l < 3 && isWaiting[3]))
#define isLeaseOver(w, l) (!hasLease[at(w, l)] || isLate[at(w, l)])
#define areFormerLeasesOver(w, l) (isLeaseOver(w, 1) && (l < 3 || isLeaseOver(w, 2)))
#if MUTANT == 7
#define areLeasesOver(w, l) (l == 1 && !hasLease[at(w, l)]) /* Defect: the next leader never counts a silent worker's runs as over. */
#else
#define areLeasesOver(w, l) (!hasLease[at(w, l)] && (l == 1 || (isWaiting[l] && areFormerLeasesOver(w, l))))
#endif
#define areRunsKnown(w, l) (hasListed[at(w, l)] || areLeasesOver(w, l))
#define areAllListed(l) (hasListed[at(0, l)] && hasListed[at(1, l)])

inline endLeases(w)
{
    hasLease[at(w, 1)] = false; hasLease[at(w, 2)] = false; hasLease[at(w, 3)] = false;
    isLate[at(w, 1)] = false; isLate[at(w, 2)] = false
}

inline stopLeading(l)
{
    isLeading[l] = false; hasAuthority[l] = false; isUnreplaced[l] = false; mayBeReleased[l] = false;
    isPassed[l] = false; isBySilence[l] = false; hasListed[at(0, l)] = false; hasListed[at(1, l)] = false;
    wasSettled[l] = false; hasFormerStopped[l] = false; isWaiting[l] = false; known[l] = PENDING
}

inline pass(l, isSilent)
{
    isPassed[l] = true; isBySilence[l] = (isBySilence[l] || isSilent) && l < LAST; hasListed[at(0, l)] = false; hasListed[at(1, l)] = false
}

/* Election::claim. The former leader may be without authority by then, and extend leases by what the other nodes have said. */
inline claim(l)
{
    atomic {
        term == l - 1 && !isEndPersisted ->
        if
        :: isLeading[l - 1] -> hasAuthority[l - 1] = false; isUnreplaced[l - 1] = true
        :: skip
        fi;
        wasSettled[l] = isSettled; hasFormerStopped[l] = isReleased;
        term = l; isSettled = l == 1; isReleased = false;
        isLeading[l] = true; hasAuthority[l] = true; isPassed[l] = l == 1; known[l] = PENDING
    }
}

/* LeaderLog: a heartbeat with what is queued. */
inline write(l)
{
    atomic {
        isLeading[l] && term == l && !mayBeReleased[l] && (isSettled != isPassed[l] || (known[l] == DONE && !isEndPersisted)) ->
        isSettled = isPassed[l]; isEndPersisted = isEndPersisted || known[l] == DONE;
        if
        :: isEndPersisted -> hasDone[0] = false; hasDone[1] = false
        :: else
        fi
    }
}

/* LeaderLog::onConflict. */
inline conflict(l)
{
    atomic { isLeading[l] && term > l -> stopLeading(l) }
}

/* LeaderTask::yieldLeadership: the release takes effect at any time or never, and its answer may be lost. */
inline release(l)
{
    atomic { l < LAST && isLeading[l] && term == l && !mayBeReleased[l] -> mayBeReleased[l] = true }
}
inline released(l)
{
    atomic {
        term == l && mayBeReleased[l] && !isReleased -> isReleased = true; isSettled = isPassed[l];
        if
        :: stopLeading(l)
        :: skip
        fi
    }
}

/* LeaderTask::checkReplacement. */
inline ask(l)
{
    atomic {
        l < LAST && isLeading[l] && !isActing(l) ->
        if
        :: isReplaced(l) -> stopLeading(l)
        :: else -> isUnreplaced[l] = true
        fi
    }
}

/* LeaderTask::queryFormerLeader. */
inline query(l)
{
    atomic { l > 1 && isLeading[l] && !hasFormerStopped[l] && !isLeading[l - 1] -> hasFormerStopped[l] = true }
}

/* EngineImpl::formerLeasesEnd. */
inline await(l)
{
    atomic { l > 1 && isLeading[l] && !isWaiting[l] && isAuthorityOver(l) -> isWaiting[l] = true }
}

/* EngineImpl::tryPassBarrier. */
inline barrier(l)
{
    atomic { isLeading[l] && !isPassed[l] && areAllListed(l) -> pass(l, false) }
}
inline barrierByTime(l)
{
    atomic {
        isLeading[l] && !isPassed[l] && !areAllListed(l) && areRunsKnown(0, l) && areRunsKnown(1, l) && (isConfirmed(l) || !mustConfirmBarrier) ->
        pass(l, mustConfirmBarrier)
    }
}

/* Worker::renew with its report: adoption, ends, runs that are unknown, and runs that are no longer listed. */
inline renew(l, w)
{
    atomic {
        reaches(w, l) ->
        if
        :: fence[w] > l -> stopLeading(l)
        :: else ->
            fence[w] = l;
                        if
            :: hasDone[w] -> known[l] = DONE
            :: else
            fi;
            if
            :: isRunning[w] && known[l] == PENDING && !isPassed[l] -> known[l] = w
            :: isRunning[w] && known[l] != w && (known[l] != PENDING || isPassed[l]) -> isRunning[w] = false
            :: !isRunning[w] && known[l] == w -> known[l] = PENDING
            :: else
            fi;
            isLate[at(w, l)] = isLate[at(w, l)] || (mayExtend(l) && isAwaited(l));
            hasLease[at(w, l)] = isRunning[w] && (hasLease[at(w, l)] || mayExtend(l));
            if
            :: !isRunning[w] -> endLeases(w)
            :: else
            fi;
            hasListed[at(w, l)] = !isPassed[l]
        fi
    }
}

/* Worker::checkLeaseExpiry, EngineImpl::confirmLoss. */
inline lose(l, w)
{
    atomic { isLeading[l] && known[l] == w && areLeasesOver(w, l) && (isConfirmed(l) || !mustConfirmLoss) ->
        known[l] = PENDING; isBySilence[l] = isBySilence[l] || (mustConfirmLoss && l < LAST) }
}

/* A round of the scheduler. */
inline start(l, w)
{
    atomic {
        reaches(w, l) && fence[w] <= l && isPassed[l] && known[l] == PENDING && hasAuthority[l] && !mayBeReleased[l] && mayStart(l) ->
        assert(!isEndPersisted);
        assert(!isRunning[0] && !isRunning[1]);
        fence[w] = l; hasLease[at(w, l)] = true; isRunning[w] = true; known[l] = w
    }
}

inline loseAuthority(l)
{
    atomic { hasAuthority[l] && term > l -> hasAuthority[l] = false }
}
inline outdate(l)
{
    atomic { isUnreplaced[l] -> isUnreplaced[l] = false }
}

#ifdef PROGRESS
#define mayLapse(w, l) (l < LAST || !isLeading[l] || cutOff == w)
#else
#define mayLapse(w, l) true
#endif
inline lapse(l, w)
{
    atomic {
        hasLease[at(w, l)] && mayLapse(w, l) -> hasLease[at(w, l)] = false; isLate[at(w, l)] = false;
        isRunning[w] = isRunning[w] && (hasLease[at(w, 1)] || hasLease[at(w, 2)] || hasLease[at(w, 3)])
    }
}

/* A run that fails is as one whose lease is over. */
inline finish(w)
{
    atomic { isRunning[w] -> isRunning[w] = false; endLeases(w); hasDone[w] = !isEndPersisted }
}

#ifdef PROGRESS

proctype Elect(byte l) { claim(l) }
proctype Write(byte l) { end: do :: write(l) :: conflict(l) od }
proctype Release(byte l) { end: release(l); released(l) }
proctype Ask(byte l) { end: do :: ask(l) od }
proctype Query(byte l) { end: do :: query(l) od }
proctype Barrier(byte l) { end: do :: await(l) :: barrier(l) :: barrierByTime(l) od }
proctype Renew(byte l; byte w) { end: do :: renew(l, w) od }
proctype Lose(byte l; byte w) { end: do :: lose(l, w) od }
proctype Start(byte l; byte w) { end: do :: start(l, w) od }
proctype Authority(byte l) { end: do :: loseAuthority(l) :: outdate(l) od }
proctype Lapse(byte l) { end: do :: lapse(l, 0) :: lapse(l, 1) od }
proctype Task(byte w) { end: do :: finish(w) od }

init
{
    byte l = 1;
    atomic {
        if
        :: cutOff = 0
        :: cutOff = 1
        :: skip
        fi;
        do
        :: l <= LAST ->
            run Elect(l); run Write(l); run Barrier(l); run Renew(l, 0); run Renew(l, 1); run Lose(l, 0); run Lose(l, 1);
            run Start(l, 0); run Start(l, 1); run Lapse(l);
            if
            :: l < LAST -> run Release(l); run Ask(l); run Authority(l)
            :: else
            fi;
            if
            :: l > 1 -> run Query(l)
            :: else
            fi;
            l++
        :: else -> break
        od;
        run Task(0); run Task(1)
    }
}

#else

proctype Leader(byte l)
{
    claim(l);
    end: do
    :: write(l)
    :: conflict(l)
    :: release(l)
    :: released(l)
    :: ask(l)
    :: query(l)
    :: await(l)
    :: barrier(l)
    :: barrierByTime(l)
    :: renew(l, 0)
    :: renew(l, 1)
    :: lose(l, 0)
    :: lose(l, 1)
    :: start(l, 0)
    :: start(l, 1)
    od
}

proctype World()
{
    end: do
    :: loseAuthority(1)
    :: loseAuthority(2)
    :: outdate(1)
    :: outdate(2)
    :: lapse(1, 0)
    :: lapse(1, 1)
    :: lapse(2, 0)
    :: lapse(2, 1)
    :: lapse(3, 0)
    :: lapse(3, 1)
    :: finish(0)
    :: finish(1)
    od
}

init
{
    atomic { run Leader(1); run Leader(2); run Leader(3); run World() }
}

#endif

/* The end of the task is acknowledged. */
ltl settles { <> isEndPersisted }
