/* From a complete output to its score under changes of owner; reward.md is the
   specification. */

#define OWNERS 3
#define LIMIT 2

/* The log */
bool output = false;   /* the complete output is on it */
byte failures = 0;     /* count of failed reward calls on it */
byte results = 0;
byte max_epoch = 0;

/* What really happened */
byte calls = 0;
byte failed_calls = 0;

proctype Owner(byte epoch) {
    bool generated = false;
    bool persisted;
    byte counted;
    bool stopped = false;

    atomic {
        if
        :: epoch > max_epoch ->
            max_epoch = epoch;
            persisted = output;
            counted = failures;
#ifdef BROKEN_UNCOUNTED_FAILURES
            counted = 0;
#endif
            stopped = (results > 0)
        :: else -> stopped = true
        fi
    }
    do
    :: stopped -> break
    :: !stopped && !persisted && !generated ->
        /* Once a score was asked for, the output stays as it is. What a
           former owner generates until it notices is not listed. */
        atomic {
            assert(calls == 0 || epoch != max_epoch);
            generated = true
        }
    :: !stopped && !persisted && generated ->
#ifdef BROKEN_CALL_BEFORE_APPEND
        persisted = true
#else
        atomic {
            if
            :: epoch == max_epoch -> output = true; persisted = true
            :: else -> stopped = true
            fi
        }
#endif
    :: !stopped && persisted ->
        calls++;
        if
        :: /* the service signs the response */
            atomic {
                if
                :: epoch == max_epoch ->
                    assert(results == 0);
                    results++
                :: else -> skip
                fi;
                stopped = true
            }
        :: /* it fails */
            failed_calls++;
            counted++;
            /* At most one failure is lost with each owner. */
            assert(failed_calls <= LIMIT + OWNERS - 1);
            atomic {
                if
                :: epoch != max_epoch -> stopped = true
                :: epoch == max_epoch && counted >= LIMIT ->
                    assert(failed_calls >= LIMIT);
                    assert(results == 0);
                    results++;
                    stopped = true
                :: else -> failures = counted
                fi
            }
        fi
    od
}

init {
    atomic {
        run Owner(1);
        run Owner(2);
        run Owner(3)
    }
}
