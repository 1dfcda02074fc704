/* Reports of usage by two owners of the shard; usage.md is the
   specification. */

#define WINDOWS 2
#define MAX_TRIES 2
#define NONE 0

byte end = 0;               /* end offset of the partition of reports */
byte last = 0;              /* windows that have their report */
byte report[WINDOWS];       /* counts of the recorded reports */
bool acknowledged[WINDOWS]; /* recorded acknowledgements */
byte count = 1;             /* counts of all instances; a late one follows */

byte lease = 1;             /* token of the instance that has the lease */
byte received = 0;          /* highest token that the platform received */
byte taken[WINDOWS];        /* counts that the platform has */

/* Calls of each token under way, which may overtake each other, and calls that
   are executed later: window and counts. */
chan net[3] = [1] of { byte, byte };
chan late = [2] of { byte, byte };
/* Appends without a response that take effect later. */
chan appends = [1] of { byte, byte, byte };
chan reply[3] = [1] of { byte };

active proctype Counts() {
    count = 2
}

/* The former owner loses its lease before another instance owns the shard. */
active proctype Shard() {
    lease = NONE;
    lease = 2
}

inline execute(window, counts) {
    assert(taken[window] == NONE || taken[window] == counts);
    taken[window] = counts
}

/* The platform checks no tokens; it must not have to. */
active proctype Platform() {
    byte token;
    byte window;
    byte counts;
    do
    :: atomic {
        if
        :: net[1] ? window, counts -> token = 1
        :: net[2] ? window, counts -> token = 2
        fi;
        assert(token >= received);
        received = token;
        if
        :: execute(window, counts); reply[token] ! window
        :: execute(window, counts) /* the response is lost */
        :: late !! window, counts
        :: skip /* the call is lost */
        fi
       }
    :: atomic { late ?? window, counts -> execute(window, counts) }
    :: timeout -> break
    od;
    window = 0;
    do
    :: window < WINDOWS ->
        /* No report is forgotten before the platform has it. */
        assert(!acknowledged[window] || taken[window] != NONE);
        window++
    :: else -> break
    od
}

#ifdef BROKEN_UNCONDITIONAL
#define AT_END(offset) true
#else
#define AT_END(offset) (end == offset)
#endif

inline append_report(offset, window, counts) {
    if
    :: AT_END(offset) ->
        report[window] = counts;
        last = (window + 1 > last -> window + 1 : last);
        end++
    :: else -> skip
    fi
}

active proctype Log() {
    byte offset;
    byte window;
    byte counts;
    do
    :: atomic {
        appends ?? offset, window, counts ->
        append_report(offset, window, counts)
       }
    :: timeout -> break
    od
}

#ifdef BROKEN_NO_LEASE
#define HAS_LEASE true
#else
#define HAS_LEASE (lease == token)
#endif

proctype Holder(byte token) {
    byte offset;
    byte window;
    byte counts;
    byte answered;
    byte tries = MAX_TRIES;

    lease >= token;
    if
    :: token == 2 ->
        lease == 2;
#ifndef BROKEN_NO_WAIT
        /* The lease is longer than a call of the former holder takes. */
        empty(net[1])
#endif
    :: else -> skip
    fi;
    do
    :: tries > 0 ->
        tries--;
        /* Reads to the end, and then the counts. */
        atomic { offset = end; window = last };
        if
        :: window < WINDOWS ->
            counts = count;
#ifdef BROKEN_NO_RECORD
            if
            :: atomic { HAS_LEASE && nfull(net[token]) ->
                net[token] ! window, counts
               }
            :: skip
            fi;
#endif
            atomic {
                if
                :: append_report(offset, window, counts)
                :: nfull(appends) -> appends !! offset, window, counts
                fi
            }
        :: else -> skip
        fi;
        /* Sends the oldest report that is not acknowledged. */
        window = 0;
        do
        :: atomic {
            window < last && acknowledged[window] -> window++
           }
        :: else -> break
        od;
        if
        :: atomic {
            window < last && !acknowledged[window] -> counts = report[window]
           };
           if
           :: atomic { HAS_LEASE && nfull(net[token]) ->
               net[token] ! window, counts
              };
              if
              :: reply[token] ? answered ->
                  atomic { acknowledged[answered] = true; end++ }
              :: true ->
                  /* No response in time. */
#ifdef BROKEN_FORGET
                  atomic { acknowledged[window] = true; end++ }
#else
                  skip
#endif
              fi
           :: true -> skip
           fi
        :: else -> skip
        fi
    :: tries == 0 -> break
    od
}

init {
    atomic {
        run Holder(1);
        run Holder(2)
    }
}
