/* Which host gives orders to a runner: the protocol of
   rosemaryhook/runner_ownership.cc.

   The model has two hosts, the store's row that names the owner, and one
   runner. A step of the clock is one unit; CONTACT and LEASE are in units. An
   answer of the store may arrive arbitrarily late, the acknowledgement of a
   claim may be lost and the claim be carried out late, and a host may be paused
   between any two steps (it takes no step while the clock does).

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
                           orders */

#define CONTACT 3
#define LEASE 2
#define NOBODY 0
#define UNSAMPLED 9

byte row = NOBODY;      /* the owner in the store: 1 or 2 */
byte known[3];          /* the owner that a host last read or wrote */
byte age[3];            /* of its contact, up to CONTACT, which is too old */
byte wait_left[3];      /* time until it may give orders */
byte read_age[3];       /* 0: no read outstanding; else its age + 1 */
byte answer[3];         /* owner in the answer, UNSAMPLED before it */
bool has_left[3];       /* announced that it gives no more orders */
byte last_owner = NOBODY;
byte order_age = LEASE; /* age of the last order, up to LEASE */

#ifdef NO_WAIT
#define TAKEOVER_WAIT 0
#elif defined(LEASE_ONLY)
#define TAKEOVER_WAIT LEASE
#else
#define TAKEOVER_WAIT (CONTACT + LEASE)
#endif

#ifdef NO_WAIT
#define LEAVE_WAIT 0
#else
#define LEAVE_WAIT LEASE
#endif

#ifdef ADOPT_AT_ONCE
#define ADOPT_WAIT 0
#else
#define ADOPT_WAIT (CONTACT + LEASE)
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
  :: read_age[me] > 0 && read_age[me] <= CONTACT -> read_age[me]++
  :: read_age[me] > CONTACT ->  /* timed out */
       read_age[me] = 0;
       answer[me] = UNSAMPLED
  :: else
  fi
}

proctype Clock() {
  do
  :: atomic {
       advance_ages(1);
       advance_ages(2);
       if
       :: order_age < LEASE -> order_age++
       :: else
       fi
     }
  od
}

proctype Host(byte me) {
  do
  :: atomic { read_age[me] == 0 -> read_age[me] = 1; answer[me] = UNSAMPLED }
  :: atomic { read_age[me] > 0 && answer[me] == UNSAMPLED -> answer[me] = row }
  :: atomic { read_age[me] > 0 && answer[me] != UNSAMPLED ->
       if
       :: answer[me] == me && known[me] != me -> wait_left[me] = ADOPT_WAIT
       :: else
       fi;
       known[me] = answer[me];
       age[me] = AGE_OF_ANSWER(me);
       read_age[me] = 0;
       answer[me] = UNSAMPLED
     }
  /* An acknowledged claim: a write on condition that the row is as known. */
  :: atomic { read_age[me] == 0 && row != me && row == known[me] &&
              !has_left[me] ->
       if
       :: row == NOBODY -> wait_left[me] = 0
       :: row != NOBODY && has_left[row] -> wait_left[me] = LEAVE_WAIT
       :: else -> wait_left[me] = TAKEOVER_WAIT
       fi;
       row = me;
       known[me] = me
     }
  /* A claim whose acknowledgement is lost, or that is carried out late. */
  :: atomic { row != me && row == known[me] -> row = me }
  :: atomic { !has_left[me] -> has_left[me] = true }
  :: atomic { known[me] == me && IN_CONTACT(me) && wait_left[me] == 0 &&
              !HAS_STOPPED(me) ->
       assert(last_owner == NOBODY || last_owner == me || order_age >= LEASE);
       last_owner = me;
       order_age = 0
     }
  od
}

init {
  atomic {
    age[1] = CONTACT;
    age[2] = CONTACT;
    answer[1] = UNSAMPLED;
    answer[2] = UNSAMPLED;
    run Clock();
    run Host(1);
    run Host(2)
  }
}
