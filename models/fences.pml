/* Weight orders of owners that cannot reach the log; fences.md is the
   specification. */

#define LAST_VERSION 3
#define LAST_COUNT 4

byte announced = 1;           /* the newest version on the log */
byte seen_fence = 0;          /* highest fence that the sampler has seen */
byte accepted = 0;            /* number of orders that it accepted */
byte version = 1;             /* weight version that it serves */
byte accepted_fence = 0;      /* fence of the last order that it accepted */

/* Orders in transit: fence, version, expected number of accepted orders. */
chan wire = [3] of { byte, byte, byte };

active proctype Trainer() {
    do
    :: announced < LAST_VERSION -> announced++
    :: announced == LAST_VERSION -> break
    od
}

#ifdef BROKEN_NO_FENCE
#define FENCE_OK(f) true
#else
#define FENCE_OK(f) (f >= seen_fence)
#endif
#ifdef BROKEN_NO_EXPECTATION
#define COUNT_OK(n) true
#else
#define COUNT_OK(n) (n == accepted)
#endif

/* Any order in transit may arrive next, or be lost. */
active proctype Sampler() {
    byte fence;
    byte wanted;
    byte expected;
    do
    :: atomic {
        wire ?? fence, wanted, expected ->
        if
        :: FENCE_OK(fence) && COUNT_OK(expected) && accepted < LAST_COUNT ->
            assert(fence >= accepted_fence);
            assert(wanted > version);
            accepted_fence = fence;
            seen_fence = (fence > seen_fence -> fence : seen_fence);
            version = wanted;
            accepted++
        :: else ->
            seen_fence = (fence > seen_fence -> fence : seen_fence)
        fi
       }
    :: timeout -> break
    od
}

/* Each owner acts as owner for ever, as one that cannot reach the log may. */
proctype Owner(byte fence) {
    byte known;
    byte count;
    byte left = 2;
    do
    :: left == 0 -> break
    :: left > 0 ->
        /* Reads the sampler's report; the owner also knows the announced
           version from the log. */
        atomic { known = version; count = accepted }
        if
        :: known < announced -> wire !! fence, announced, count
        :: true -> skip
        fi;
        left--
    od
}

init {
    atomic {
        run Owner(1);
        run Owner(2)
    }
}
