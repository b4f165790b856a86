/* What was accepted is known to every later owner, and what was refused to none, though answers of the store are lost
 * and the owner changes. MUTANT names a seeded mistake. */
#ifndef MUTANT
#define MUTANT 0
#endif
#if MUTANT == 1
#define isFenced true /* Mistake: the group does not check the partition's row. */
#else
#define isFenced (owner == 1)
#endif
#define WAITING 0
#define ACCEPTED 1
#define REFUSED 2
#define UNKNOWN 3

byte owner = 1; /* epoch in the partition's row */
bool isKept = false; /* the group is in the log */
bool isUnderWay = false; /* a write was sent and may still take effect */
byte told = WAITING; /* the caller */
bool hasRead = false; /* the later owner has read the log */
bool known = false; /* and found the job */
bool storeAnswers = true;

proctype Store()
{
    /* The write takes effect at some time, if its conditions hold then. */
    do
    :: atomic {
        isUnderWay && isFenced -> isKept = true; isUnderWay = false
    }
    :: atomic { isUnderWay && owner != 1 -> isUnderWay = false }
    :: told != WAITING && !isUnderWay -> break
    od
}

proctype Owner()
{
    isUnderWay = true;
    do
    :: atomic { isKept -> told = ACCEPTED; break } /* GroupLog::onCommitted or onRead with the own write id */
    :: atomic { !isUnderWay && !isKept && owner != 1 -> told = UNKNOWN; break } /* GroupLog::onRead: lost */
#if MUTANT == 2
    :: atomic { isUnderWay -> told = REFUSED; break } /* Mistake: no answer is taken for a refusal. */
#endif
#if MUTANT == 3
    :: atomic { told = ACCEPTED; break } /* Mistake: accepted before it is kept. */
#endif
    od
}

proctype LaterOwner()
{
    atomic { owner = 2 };
    atomic { known = isKept; hasRead = true }
}

proctype Monitor()
{
    assert(!(told == ACCEPTED && hasRead && !known && owner == 2));
    assert(!(told == REFUSED && isKept))
}

ltl answered { <> (told != WAITING) }

init
{
    atomic { run Store(); run Owner(); run LaterOwner(); run Monitor() }
}
