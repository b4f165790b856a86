/* Partitions: at most one node acts as owner, though hand-overs are answered late or not at all, and nodes lapse.
 * See docs/PROOFS.md for the functions that the steps stand for. MUTANT names a seeded mistake. */
#ifndef MUTANT
#define MUTANT 0
#endif
#ifndef FAULTS
#define FAULTS 2
#endif
#ifndef HANDOVERS
#define HANDOVERS 2
#endif
#define NODES 2
#define RUNS 4 /* bounds the search: a run ends only by a fault or a mistake */
#define NOBODY NODES

/* The store's rows: one partition's, and the members'. */
byte owner = NOBODY;
byte ownerRun = 0;
byte epoch = 0;
bool isMember[NODES];
byte memberRun[NODES];

/* What each node knows. */
byte runOf[NODES];
bool isJoined[NODES];
bool isFresh[NODES]; /* its lease has not lapsed by its own clock */
byte seenOwner[NODES] = NOBODY;
byte seenOwnerRun[NODES];
byte seenEpoch[NODES];
bool isSeenOwnerLive[NODES];
byte givenUp[NODES]; /* epoch whose hand-over was sent; 0 for none */
byte late[NODES]; /* epoch whose hand-over may still take effect; 0 for none */
byte faults = 0;
byte handOvers = 0;

#define isOwnRow (isMember[n] && memberRun[n] == runOf[n])
#define isSeenOwner(n) (seenOwner[n] == n && seenOwnerRun[n] == runOf[n])
#define isSeenNewest (seenOwner[n] == owner && seenEpoch[n] == epoch)
#if MUTANT == 1
#define isGivenUp(n) false /* Mistake: it goes on as owner until it reads that the hand-over took effect. */
#else
#define isGivenUp(n) (givenUp[n] == seenEpoch[n])
#endif
#define mayHandOver (isJoined[n] && isOwnRow && isSeenOwner(n) && isSeenNewest)
#define acts(n) (isJoined[n] && isFresh[n] && isSeenOwner(n) && !isGivenUp(n))
#if MUTANT == 2
#define mayTake (epoch < 4) /* Mistake: it takes a partition from a live owner; bounded, as two would take it for ever. */
#elif MUTANT == 5
#define mayTake (seenEpoch[n] == 0 || (seenOwner[n] != NOBODY && !isSeenOwnerLive[n])) /* Mistake: not what was handed over. */
#else
#define mayTake (seenOwner[n] == NOBODY || !isSeenOwnerLive[n])
#endif
#if MUTANT == 3
#define hasLapsed(m) true /* Mistake: a member is removed while its lease holds. */
#else
#define hasLapsed(m) (!isFresh[m])
#endif


proctype Node(byte n)
{
    byte other = 1 - n;
    do
    :: true ->
        /* Membership::takeView: all rows as of one moment; dropOut when others took this run as gone. */
        atomic {
            if
            :: isJoined[n] && !isOwnRow -> isJoined[n] = false; isFresh[n] = false; givenUp[n] = 0; late[n] = 0; runOf[n]++
            :: else
            fi;
            seenOwner[n] = owner;
            seenOwnerRun[n] = ownerRun;
            seenEpoch[n] = epoch;
            isSeenOwnerLive[n] = (owner != NOBODY && isMember[owner] && memberRun[owner] == ownerRun);
#if MUTANT == 4
            givenUp[n] = 0 /* Mistake: it acts again when the rows do not show the hand-over yet. */
#else
            if
            :: !isSeenOwner(n) || givenUp[n] != epoch -> givenUp[n] = 0
            :: else
            fi
#endif
        }
        /* Membership::join. */
        atomic {
            if
            :: !isJoined[n] && runOf[n] < RUNS ->
                isMember[n] = true; memberRun[n] = runOf[n]; isJoined[n] = true; isFresh[n] = true
            :: else
            fi
        }
        /* Membership::renew: a late write of the node expects an older row of its own, so it has no effect any more. */
        atomic {
            if
            :: isJoined[n] && isOwnRow ->
                late[n] = 0;
                if
                :: isFresh[n] = true
                :: faults < FAULTS -> faults++
                fi
            :: else
            fi
        }
        /* Membership::takePartitions, conditional on the own row and on the partition's. */
        atomic {
            if
            :: isJoined[n] && isOwnRow && isSeenNewest && mayTake && !isSeenOwner(n) ->
                owner = n; ownerRun = runOf[n]; epoch++
            :: else
            fi
        }
        /* Membership::handOver: answered, or the answer is lost, or the effect comes late. */
        atomic {
            if
            :: mayHandOver && (isGivenUp(n) || handOvers < HANDOVERS) ->
                if
                :: isGivenUp(n) -> skip
                :: else -> handOvers++
                fi;
                givenUp[n] = epoch;
                if
                :: owner = NOBODY
                :: faults < FAULTS -> faults++; late[n] = epoch
                fi
            :: !(mayHandOver && isGivenUp(n)) -> skip
            fi
        }
        /* Membership::removeLapsed. */
        atomic {
            if
            :: isJoined[n] && isOwnRow && isMember[other] && hasLapsed(other) -> isMember[other] = false; late[other] = 0
            :: true
            fi
        }
        /* A pause, or a store that does not answer, lets the lease lapse. */
        atomic {
            if
            :: isFresh[n] && faults < FAULTS -> faults++; isFresh[n] = false
            :: true
            fi
        }
    od
}

/* The store carries out a late write if its conditions still hold. */
proctype Store()
{
    byte n = 0;
    do
    :: atomic { late[0] > 0 -> n = 0; if :: late[n] == epoch && owner == n -> owner = NOBODY :: else fi; late[n] = 0 }
    :: atomic { late[1] > 0 -> n = 1; if :: late[n] == epoch && owner == n -> owner = NOBODY :: else fi; late[n] = 0 }
    od
}

/* Never two owners at one moment; evaluated after any step. */
proctype Monitor()
{
    assert(!(acts(0) && acts(1)))
}

/* Whatever was handed over has an owner again and again. */
ltl owned { [] <> (acts(0) || acts(1)) }

init
{
    atomic { run Node(0); run Node(1); run Store(); run Monitor() }
}
