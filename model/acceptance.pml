/* Every later owner finds each accepted job in the log, and no refused job, although the store's answers may be lost and
 * the owner changes. MUTANT selects a seeded defect. */
#ifndef MUTANT
#define MUTANT 0
#endif
#if MUTANT == 1
#define isFenced true /* Defect: the write of the group does not check the partition's row. */
#else
#define isFenced (owner == 1)
#endif
#define WAITING 0
#define ACCEPTED 1
#define REFUSED 2
#define UNKNOWN 3

byte owner = 1; /* epoch in the partition's row */
bool isPersisted = false; /* the log contains the group */
bool isWritePending = false; /* a write was sent and may still take effect */
byte callerAnswer = WAITING; /* the answer to the caller */
bool hasReadLog = false; /* the later owner has read the log */
bool hasFoundJob = false; /* the later owner found the job in the log */
bool storeAnswers = true;

proctype Store()
{
    /* The write takes effect at any time at which its conditions hold. */
    do
    :: atomic {
        isWritePending && isFenced -> isPersisted = true; isWritePending = false
    }
    :: atomic { isWritePending && owner != 1 -> isWritePending = false }
    :: callerAnswer != WAITING && !isWritePending -> break
    od
}

proctype Owner()
{
    isWritePending = true;
    do
    :: atomic { isPersisted -> callerAnswer = ACCEPTED; break } /* GroupLog::onCommitted, or onRead that finds the owner's write id */
    :: atomic { !isWritePending && !isPersisted && owner != 1 -> callerAnswer = UNKNOWN; break } /* GroupLog::onRead: ownership lost */
#if MUTANT == 2
    :: atomic { isWritePending -> callerAnswer = REFUSED; break } /* Defect: a missing answer counts as a refusal. */
#endif
#if MUTANT == 3
    :: atomic { callerAnswer = ACCEPTED; break } /* Defect: accepted before it is persisted. */
#endif
    od
}

proctype LaterOwner()
{
    atomic { owner = 2 };
    atomic { hasFoundJob = isPersisted; hasReadLog = true }
}

proctype Monitor()
{
    assert(!(callerAnswer == ACCEPTED && hasReadLog && !hasFoundJob && owner == 2));
    assert(!(callerAnswer == REFUSED && isPersisted))
}

ltl answered { <> (callerAnswer != WAITING) }

init
{
    atomic { run Store(); run Owner(); run LaterOwner(); run Monitor() }
}
