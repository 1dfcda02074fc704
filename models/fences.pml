/* Orders of an owner that goes on without the log; fences.md is its
   specification. */

#define LAST_VERSION 3
#define LAST_COUNT 4

byte announced = 1;           /* the newest version on the log */
byte seen_fence = 0;          /* what the sampler has seen */
byte accepted = 0;            /* orders that it accepted */
byte version = 1;             /* what it holds */
byte accepted_fence = 0;      /* of the last order that it accepted */

/* Orders on their way: fence, version, orders expected to be accepted. */
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

/* Any order on its way may arrive next, or be lost. */
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

/* Each owner believes in its place for ever, as one without the log does. */
proctype Owner(byte fence) {
    byte known;
    byte count;
    byte left = 2;
    do
    :: left == 0 -> break
    :: left > 0 ->
        /* What the sampler reports, and what the owner knows of the log. */
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
