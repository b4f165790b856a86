/* A task never runs in two places, though the owner of its worker changes while exchanges are under way.
 *
 * One home starts attempt 1 on worker 0, whose owner changes from epoch 1 to epoch 2, and starts attempt 2 on worker 1
 * only by its rule. The former owner goes on as if it knew nothing. MUTANT names a seeded mistake. */
#ifndef MUTANT
#define MUTANT 0
#endif
#define NONE 0

#if MUTANT == 1
#define isFenceOpen true /* Mistake: the worker takes orders of any epoch. */
#else
#define isFenceOpen (fence <= 1)
#endif
#if MUTANT == 3
#define isSurelyLapsed true /* Mistake: a worker that does not answer is taken as empty. */
#else
#define isSurelyLapsed (hasLapsed && isFormerGone)
#endif
#define isNotRenewed (isFormerGone || fence > 1)

/* Worker 0. */
byte fence = 1; /* newest epoch it has heard of */
bool isRunning1 = false;
bool hasStarted1 = false;
bool hasLapsed = false; /* its lease lapsed: it stopped its tasks and began a new session */
bool isCut = false; /* from the new owner */

/* Worker 1. */
bool isRunning2 = false;

/* The former owner. */
bool isFormerGone = false;
bool placeTaken = false; /* it has taken the request for room */

/* The new owner and the home. */
bool isTaken = false; /* the partition's row names the new owner */
bool isInventoryKnown = false;
bool isAttempt1Listed = false;
bool mayStart2 = false;

proctype FormerOwner()
{
    /* Capacity::onPlace by the owner of epoch 1. */
    if
    :: placeTaken = true
    :: skip
    fi;
    /* WorkerLink::next: the start is under way for any time; FakeWorker::sync judges it on arrival. */
    if
    :: atomic {
        placeTaken && isFenceOpen && !hasLapsed -> isRunning1 = true; hasStarted1 = true
    }
    :: true
    fi;
    isFormerGone = true
}

proctype Lease()
{
    /* The worker's lease lapses when nobody renews it. The former owner renews as long as it lives and is not fenced;
     * the new one renews once it has reached the worker. */
    do
    :: atomic {
        !hasLapsed && isCut && isNotRenewed -> hasLapsed = true; isRunning1 = false
    }
    :: atomic { isRunning1 -> isRunning1 = false } /* it ends by itself */
    :: hasLapsed && !isRunning1 -> break
    :: !isRunning1 && isInventoryKnown -> break
    od
}

proctype NewOwner()
{
    /* Membership::takePartitions, after the former owner's member lease. */
    isTaken = true;
    if
    :: isCut = true
    :: skip
    fi;
    if
    :: atomic { !isCut -> fence = 2; isAttempt1Listed = hasStarted1; isInventoryKnown = true } /* WorkerLink::onResult */
    :: atomic {
        isCut && isSurelyLapsed -> isAttempt1Listed = false; isInventoryKnown = true /* WorkerLink::takeLapsed */
    }
    fi
}

proctype Home()
{
    /* Home::onInventory and Home::loseMissing: the next attempt starts when the former is known to be over. */
    if
#if MUTANT == 2
    :: isTaken -> mayStart2 = true
#endif
    :: isInventoryKnown ->
        if
        :: !isAttempt1Listed -> mayStart2 = true
        :: isAttempt1Listed -> (!isRunning1); mayStart2 = true /* Home::onAttemptEnded */
        fi
    fi;
    atomic { mayStart2 -> isRunning2 = true }
}

proctype Monitor()
{
    assert(!(isRunning1 && isRunning2))
}

/* The task is started again in the end. */
ltl startsAgain { <> isRunning2 }

init
{
    atomic { run FormerOwner(); run Lease(); run NewOwner(); run Home(); run Monitor() }
}
