/* Which host gives orders to a runner: the protocol of
   rosemaryhook/runner_ownership.cc.

   The model has the store's row that names the owner, one runner, and two or
   three hosts. A host reads the row, claims it, orders, announces that it
   leaves, and is restarted; then it knows nothing but what it reads. A step of
   the clock is one unit; CONTACT and LEASE are in units. An answer of the store
   may arrive arbitrarily late, the acknowledgement of a write may be lost, and a
   host may be paused between any two steps (it takes no step while the clock
   does).

   Without CHAIN there are two such hosts, 2 and 3. With CHAIN, host 1 owns the
   row at first, and only reads, orders and leaves. Hosts 2 and 3 read without
   delay and order only while the store's row names them. Host 3 only claims and
   orders; host 2 does everything.

   Property: orders of two hosts are never closer than LEASE.

   Each of these macros removes one rule, and the property must then fail:
     FROM_ARRIVAL   the age of contact counts from an answer's arrival
     NO_WAIT        a new owner gives orders at once
     LEASE_ONLY     a new owner waits for the lease only
     NO_CONTACT     an owner gives orders however old its contact with the
                    store is
     ADOPT_AT_ONCE  a claim whose acknowledgement was lost, and which is found
                    in the store later, needs no wait
     ORDERS_AFTER_LEAVING  a host that has announced that it leaves still gives
                           orders
     RESTARTED_AT_ONCE     a restarted host that finds its address in the row
                           does not wait for the rest of the row's wait
     LEASE_AFTER_LEAVING   a host that replaces an owner that has left does not
                           wait for the rest of the row's wait
     REST_NOT_WRITTEN      a claim waits for the rest of the row's wait, but
                           does not write it into the row
     REMOVED_EARLY         an owner removes its row's wait before it has
                           passed */

#define CONTACT 2
#define LEASE 2
#define NOBODY 0
#define OWN_EARLIER 4   /* the row names an earlier process of the reader */

byte row = NOBODY;      /* the owner in the store: 1 to 3 */
byte row_wait = 0;      /* the wait in the row */
bool row_is_earlier;    /* the row's process has been restarted since */
bool row_has_left;      /* the row's process has announced that it leaves */

/* By host. */
byte known[4];          /* the owner that it last read or wrote */
bool is_current[4];     /* the row has not been written since */
byte rest[4];           /* of the known row's wait, from when it was first seen */
byte wait_left[4];      /* time until it may give orders */
byte age[4];            /* of its contact, up to CONTACT, which is too old */
byte read_age[4];       /* 0: no read outstanding; else its age + 1 */
byte answer[4];         /* the owner in the answer */
byte answer_wait[4];
bool is_answer_current[4];
bool has_left[4];       /* announced that it gives no more orders */

byte last_owner = NOBODY;
byte order_age = LEASE; /* age of the last order, up to LEASE */

#ifdef NO_WAIT
#define TAKEOVER_WAIT 0
#define LEAVE_WAIT 0
#else
#ifdef LEASE_ONLY
#define TAKEOVER_WAIT LEASE
#else
#define TAKEOVER_WAIT (CONTACT + LEASE)
#endif
#define LEAVE_WAIT LEASE
#endif

#ifdef ADOPT_AT_ONCE
#define ADOPT_WAIT(me) 0
#else
#define ADOPT_WAIT(me) answer_wait[me]
#endif

#ifdef NO_CONTACT
#define IN_CONTACT(me) true
#else
#define IN_CONTACT(me) (age[me] < CONTACT)
#endif

#ifdef ORDERS_AFTER_LEAVING
#define HAS_STOPPED(me) false
#else
#define HAS_STOPPED(me) has_left[me]
#endif

#ifdef FROM_ARRIVAL
#define AGE_OF_ANSWER(me) 0
#else
#define AGE_OF_ANSWER(me) (read_age[me] - 1)
#endif

#ifdef RESTARTED_AT_ONCE
#define REST_IF_RESTARTED(me) 0
#else
#define REST_IF_RESTARTED(me) rest[me]
#endif

#ifdef LEASE_AFTER_LEAVING
#define REST_IF_LEFT(me) 0
#else
#define REST_IF_LEFT(me) rest[me]
#endif

#ifdef REMOVED_EARLY
#define MAY_REMOVE_WAIT(me) true
#else
#define MAY_REMOVE_WAIT(me) (wait_left[me] == 0)
#endif

#define MAX(a, b) ((a) > (b) -> (a) : (b))

/* Values that no later step reads are reset, which merges states. */
inline forget_answer(me) {
  read_age[me] = 0;
  answer[me] = NOBODY;
  answer_wait[me] = 0;
  is_answer_current[me] = false
}

inline advance_ages(me) {
  if
  :: age[me] < CONTACT -> age[me]++
  :: else
  fi;
  if
  :: wait_left[me] > 0 -> wait_left[me]--
  :: else
  fi;
  if
  :: rest[me] > 0 -> rest[me]--
  :: else
  fi;
  if
  :: read_age[me] > 0 && read_age[me] <= CONTACT -> read_age[me]++
  :: read_age[me] > CONTACT -> forget_answer(me)  /* timed out */
  :: else
  fi
}

/* No known row or answer is current after a write. */
inline outdate_all() {
  is_current[1] = false;
  is_current[2] = false;
  is_current[3] = false;
  is_answer_current[1] = false;
  is_answer_current[2] = false;
  is_answer_current[3] = false
}

/* The wait of a claim of the row that `me` knows and that is current. */
inline compute_wait(me) {
  if
  :: known[me] == NOBODY -> wait = 0
  :: known[me] == OWN_EARLIER -> wait = REST_IF_RESTARTED(me)
  :: known[me] != NOBODY && known[me] != OWN_EARLIER && row_has_left ->
       wait = MAX(LEAVE_WAIT, REST_IF_LEFT(me))
  :: else -> wait = MAX(TAKEOVER_WAIT, rest[me])
  fi
}

inline write_claim(me) {
#ifdef REST_NOT_WRITTEN
  if
  :: known[me] == NOBODY || known[me] == OWN_EARLIER -> row_wait = 0
  :: known[me] != NOBODY && known[me] != OWN_EARLIER && row_has_left ->
       row_wait = LEAVE_WAIT
  :: else -> row_wait = TAKEOVER_WAIT
  fi;
#else
  row_wait = wait;
#endif
  row = me;
  row_is_earlier = false;
  row_has_left = has_left[me];
  outdate_all()
}

inline order(me) {
  assert(last_owner == NOBODY || last_owner == me || order_age >= LEASE);
  last_owner = me;
  order_age = 0
}

/* A read is sampled when it is sent, which is the worst case. */
inline sample(me) {
  read_age[me] = 1;
  answer[me] = ((row == me && row_is_earlier) -> OWN_EARLIER : row);
  answer_wait[me] = row_wait;
  is_answer_current[me] = true
}

inline apply_answer(me) {
  if
  :: is_current[me] || (known[me] == me && answer[me] == me)
  :: else ->
       if
       :: answer[me] == me -> wait_left[me] = ADOPT_WAIT(me)
       :: else -> wait_left[me] = 0
       fi;
       known[me] = answer[me];
       rest[me] = answer_wait[me]
  fi;
  is_current[me] = is_answer_current[me];
  age[me] = AGE_OF_ANSWER(me);
  forget_answer(me)
}

inline leave(me) {
  d_step { !has_left[me] ->
    has_left[me] = true;
    if
    :: row == me && !row_is_earlier -> row_has_left = true
    :: else
    fi
  }
}

inline order_step(me) {
  d_step { known[me] == me && IN_CONTACT(me) && wait_left[me] == 0 &&
           !HAS_STOPPED(me) -> order(me) }
}

inline read_or_order(me) {
  if
  :: d_step { read_age[me] == 0 -> sample(me) }
  :: d_step { read_age[me] > 0 -> apply_answer(me) }
  :: order_step(me)
  :: leave(me)
  fi
}

proctype Clock() {
  do
  :: d_step {
       advance_ages(1);
       advance_ages(2);
       advance_ages(3);
       if
       :: order_age < LEASE -> order_age++
       :: else
       fi
     }
  od
}

/* Reads only whether it still owns the row. */
proctype FirstOwner(byte me) {
  do
  :: d_step { read_age[me] == 0 ->
       read_age[me] = 1;
       answer[me] = (row == me -> me : NOBODY)
     }
  :: d_step { read_age[me] > 0 ->
       known[me] = answer[me];
       age[me] = AGE_OF_ANSWER(me);
       forget_answer(me)
     }
  :: order_step(me)
  :: leave(me)
  od
}

/* An acknowledged claim: a write on condition that the row is as known. */
inline claim(me) {
  d_step { read_age[me] == 0 && is_current[me] && known[me] != me &&
           !has_left[me] ->
    compute_wait(me);
    write_claim(me);
    known[me] = me;
    is_current[me] = true;
    wait_left[me] = wait;
    rest[me] = 0;
    wait = 0
  }
}

/* The other steps of a host that writes. */
inline write_or_restart(me) {
  if
  /* A claim whose acknowledgement is lost, or that is carried out late. */
  :: d_step { is_current[me] && known[me] != me ->
       compute_wait(me);
       write_claim(me);
       wait = 0
     }
  /* The row is written without its wait; the acknowledgement may be lost. */
  :: d_step { read_age[me] == 0 && is_current[me] && known[me] == me &&
              row_wait > 0 && MAY_REMOVE_WAIT(me) ->
       row_wait = 0;
       outdate_all();
       is_current[me] = true
     }
  :: d_step { is_current[me] && known[me] == me && row_wait > 0 &&
              MAY_REMOVE_WAIT(me) ->
       row_wait = 0;
       outdate_all()
     }
  /* The process is restarted. */
  :: d_step {
       if
       :: row == me -> row_is_earlier = true
       :: else
       fi;
       known[me] = NOBODY;
       is_current[me] = false;
       rest[me] = 0;
       wait_left[me] = 0;
       age[me] = CONTACT;
       has_left[me] = false;
       forget_answer(me)
     }
  fi
}

proctype Host(byte me) {
  byte wait;
  do
  :: read_or_order(me)
  :: claim(me)
  :: write_or_restart(me)
  od
}

inline read_at_once(me) {
  d_step { !is_current[me] ->
    sample(me);
    apply_answer(me)
  }
}

inline order_if_named(me) {
  d_step { row == me && known[me] == me && wait_left[me] == 0 &&
           !HAS_STOPPED(me) -> order(me) }
}

proctype MiddleOwner(byte me) {
  byte wait;
  do
  :: read_at_once(me)
  :: order_if_named(me)
  :: leave(me)
  :: claim(me)
  :: write_or_restart(me)
  od
}

proctype LastOwner(byte me) {
  byte wait;
  do
  :: read_at_once(me)
  :: order_if_named(me)
  :: claim(me)
  od
}

init {
  atomic {
    age[2] = CONTACT;
    age[3] = CONTACT;
    run Clock();
#ifdef CHAIN
    row = 1;
    known[1] = 1;
    run FirstOwner(1);
    run MiddleOwner(2);
    run LastOwner(3)
#else
    run Host(2);
    run Host(3)
#endif
  }
}
