/* Partitions: at most one node acts as owner, although answers to hand-overs are late or lost, and nodes lose their leases.
 * docs/PROOFS.md lists the functions that the steps model. MUTANT selects a seeded defect. */
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
#define MAX_INCARNATIONS 4 /* bounds the search; only a fault or a defect ends an incarnation */
#define NO_NODE NODES

/* The store's rows: one partition and the members. */
byte owner = NO_NODE;
byte ownerIncarnation = 0;
byte epoch = 0;
bool isMember[NODES];
byte memberIncarnation[NODES];

/* The state of each node. */
byte incarnationOf[NODES];
bool isJoined[NODES];
bool isLeaseValid[NODES]; /* by the node's own clock */
byte seenOwner[NODES] = NO_NODE;
byte seenOwnerIncarnation[NODES];
byte seenEpoch[NODES];
bool isSeenOwnerLive[NODES];
byte handedOverEpoch[NODES]; /* epoch whose hand-over was sent; 0 for none */
byte lateHandOver[NODES]; /* epoch whose hand-over may still take effect; 0 for none */
byte faults = 0;
byte handOvers = 0;

#define isOwnRow (isMember[n] && memberIncarnation[n] == incarnationOf[n])
#define isOwnerInView(n) (seenOwner[n] == n && seenOwnerIncarnation[n] == incarnationOf[n])
#define isViewCurrent (seenOwner[n] == owner && seenEpoch[n] == epoch)
#if MUTANT == 1
#define isHandedOver(n) false /* Defect: the node acts as owner until it reads that the hand-over took effect. */
#else
#define isHandedOver(n) (handedOverEpoch[n] == seenEpoch[n])
#endif
#define mayHandOver (isJoined[n] && isOwnRow && isOwnerInView(n) && isViewCurrent)
#define isActingOwner(n) (isJoined[n] && isLeaseValid[n] && isOwnerInView(n) && !isHandedOver(n))
#if MUTANT == 2
#define mayTake (epoch < 4) /* Defect: takes a partition from a live owner; bounded, as two nodes would take it from each other forever. */
#elif MUTANT == 5
#define mayTake (seenEpoch[n] == 0 || (seenOwner[n] != NO_NODE && !isSeenOwnerLive[n])) /* Defect: never takes a partition that was handed over. */
#else
#define mayTake (seenOwner[n] == NO_NODE || !isSeenOwnerLive[n])
#endif
#if MUTANT == 3
#define hasLapsed(m) true /* Defect: a member is removed while its lease is valid. */
#else
#define hasLapsed(m) (!isLeaseValid[m])
#endif


proctype Node(byte n)
{
    byte other = 1 - n;
    do
    :: true ->
        /* Membership::onRefreshed: reads a consistent snapshot of all rows; resetToNonMember if others removed this incarnation. */
        atomic {
            if
            :: isJoined[n] && !isOwnRow -> isJoined[n] = false; isLeaseValid[n] = false; handedOverEpoch[n] = 0; lateHandOver[n] = 0; incarnationOf[n]++
            :: else
            fi;
            seenOwner[n] = owner;
            seenOwnerIncarnation[n] = ownerIncarnation;
            seenEpoch[n] = epoch;
            isSeenOwnerLive[n] = (owner != NO_NODE && isMember[owner] && memberIncarnation[owner] == ownerIncarnation);
#if MUTANT == 4
            handedOverEpoch[n] = 0 /* Defect: acts as owner again while the rows do not show the hand-over yet. */
#else
            if
            :: !isOwnerInView(n) || handedOverEpoch[n] != epoch -> handedOverEpoch[n] = 0
            :: else
            fi
#endif
        }
        /* Membership::join. */
        atomic {
            if
            :: !isJoined[n] && incarnationOf[n] < MAX_INCARNATIONS ->
                isMember[n] = true; memberIncarnation[n] = incarnationOf[n]; isJoined[n] = true; isLeaseValid[n] = true
            :: else
            fi
        }
        /* Membership::renew: a late write of the node expects an older version of its own row, so it can no longer take effect. */
        atomic {
            if
            :: isJoined[n] && isOwnRow ->
                lateHandOver[n] = 0;
                if
                :: isLeaseValid[n] = true
                :: faults < FAULTS -> faults++
                fi
            :: else
            fi
        }
        /* Membership::acquirePartitions: conditional on the node's own row and the partition's row. */
        atomic {
            if
            :: isJoined[n] && isOwnRow && isViewCurrent && mayTake && !isOwnerInView(n) ->
                owner = n; ownerIncarnation = incarnationOf[n]; epoch++
            :: else
            fi
        }
        /* Membership::handOver: takes effect immediately (with or without an answer), late, or never. */
        atomic {
            if
            :: mayHandOver && (isHandedOver(n) || handOvers < HANDOVERS) ->
                if
                :: isHandedOver(n) -> skip
                :: else -> handOvers++
                fi;
                handedOverEpoch[n] = epoch;
                if
                :: owner = NO_NODE
                :: faults < FAULTS -> faults++; lateHandOver[n] = epoch
                fi
            :: !(mayHandOver && isHandedOver(n)) -> skip
            fi
        }
        /* Membership::removeExpired. */
        atomic {
            if
            :: isJoined[n] && isOwnRow && isMember[other] && hasLapsed(other) -> isMember[other] = false; lateHandOver[other] = 0
            :: true
            fi
        }
        /* The lease lapses during a pause of the node or an outage of the store. */
        atomic {
            if
            :: isLeaseValid[n] && faults < FAULTS -> faults++; isLeaseValid[n] = false
            :: true
            fi
        }
    od
}

/* The store applies a late write if its conditions still hold. */
proctype Store()
{
    byte n = 0;
    do
    :: atomic { lateHandOver[0] > 0 -> n = 0; if :: lateHandOver[n] == epoch && owner == n -> owner = NO_NODE :: else fi; lateHandOver[n] = 0 }
    :: atomic { lateHandOver[1] > 0 -> n = 1; if :: lateHandOver[n] == epoch && owner == n -> owner = NO_NODE :: else fi; lateHandOver[n] = 0 }
    od
}

/* Never two acting owners at the same time; evaluated after any step. */
proctype Monitor()
{
    assert(!(isActingOwner(0) && isActingOwner(1)))
}

/* The partition has an acting owner infinitely often, also after hand-overs. */
ltl owned { [] <> (isActingOwner(0) || isActingOwner(1)) }

init
{
    atomic { run Node(0); run Node(1); run Store(); run Monitor() }
}
