/* The contact protocol: contact, acknowledgement of changes and ownership
 * (rosemaryhook/contact.cc).
 *
 * Session 0 owns a backend server. Session 1 claims it in one change
 * (claim_revision). Session 2 is a member. One other change (join_revision)
 * alters the membership: with RESTART, session 3 replaces session 2, whose
 * process has ended and lost its memory; otherwise sessions 3 and 4 join. The
 * two changes are committed in either order.
 *
 * Only session 0 can be active as the old owner, so only its requests are
 * modelled. An answer may be lost or arrive arbitrarily late, which covers
 * network partitions, outages of the table and process pauses. Ages saturate
 * at SPAN, since the rules only ask whether a request was sent SPAN or more
 * ticks ago.
 *
 * State space reductions, each of which preserves every violating run:
 * - A request is answered when it is sent. An answer that is formed later
 *   reports no older revision, so it stops session 0 no later.
 * - An answer as old as SPAN keeps no session in contact and is dropped.
 * - A change is acknowledged, and in force, as early as the rules allow.
 *
 * Property: once session 1 may be active as the owner, session 0 is not.
 *
 * Each of these macros removes one rule, and the property must then fail:
 *   COUNT_FROM_ARRIVAL  the age of an answer counts from its arrival
 *   NO_MAJORITY         a change needs no acknowledgement
 *   NO_EARLIER_MAJORITY a change needs a majority of the newest members only
 *   NO_WAIT             a change is in force as soon as it is acknowledged
 *   SAME_SESSION        a restarted process answers under its earlier session
 *   WRONG_DEATH         a session is removed although it still answers
 */

#define SPAN 2

byte head = 0;              /* newest revision in the table */
byte claim_revision = 0;    /* revision of the claim, 0 before it */
byte join_revision = 0;     /* revision of the membership change, 0 before it */
byte known[4];              /* newest revision learned of, by session */
bool runs2 = true;          /* session 2's process runs */

byte age[4] = SPAN;         /* of the newest answered request of session 0 */
byte request_age[4] = SPAN; /* age of the outstanding request */
bool is_pending[4];         /* a request is outstanding; [0] is to the table */
byte answer_revision[4];    /* revision in that answer */

bool acknowledged = false;
byte waited = 0;
bool in_force = false;

byte p;

#define INCREMENT_AGE(x) x = (x < SPAN -> x + 1 : SPAN)
#define FRESH(n) (age[n] < SPAN)
#define KNOWS_JOIN(n) (join_revision > 0 && known[n] >= join_revision)

/* MajoritySent: session 0 counts itself, among the members at the revision
 * that it has applied */
#ifdef RESTART
#define PEER_MAJORITY (KNOWS_JOIN(0) -> (FRESH(1) || FRESH(3)) \
                                     : (FRESH(1) || FRESH(2)))
#else
#define PEER_MAJORITY (KNOWS_JOIN(0) -> (FRESH(1) + FRESH(2) + FRESH(3) >= 2) \
                                     : (FRESH(1) || FRESH(2)))
#endif

/* IsActive, for the old owner: in contact and unaware of the claim */
#define OLD_OWNER_ACTIVE \
  ((claim_revision == 0 || known[0] < claim_revision) && \
   (FRESH(0) || PEER_MAJORITY))

/* HasAcknowledged counts a removed session as having acknowledged */
#define ACK(n) (known[n] >= claim_revision)
#ifdef RESTART
#define EARLIER (ACK(0) || ACK(2) || KNOWS_JOIN(1))
#define NEWER (ACK(0) || ACK(3))
#else
#define EARLIER (ACK(0) || ACK(2))
/* session 4 is like session 3 but gets no requests from session 0 */
#define NEWER (ACK(0) + ACK(2) + ACK(3) + 1 >= 2)
#endif

/* IsAcknowledged: a majority of every membership from the last one in force
 * up to the claim */
#define JOIN_COUNTS (join_revision > 0 && join_revision <= claim_revision)
#if defined(NO_MAJORITY)
#define MAJORITIES true
#elif defined(NO_EARLIER_MAJORITY)
#define MAJORITIES (JOIN_COUNTS -> NEWER : EARLIER)
#else
#define MAJORITIES (EARLIER && (!JOIN_COUNTS || NEWER))
#endif

#ifdef NO_WAIT
#define WAITED true
#else
#define WAITED (waited >= SPAN)
#endif

#if defined(WRONG_DEATH)
#define MAY_JOIN true
#elif defined(RESTART)
#define MAY_JOIN (!runs2)
#else
#define MAY_JOIN true
#endif

/* session 0 asks a session while it runs, and session 3 once it knows of the
 * membership change */
#define MAY_ASK(n) ((n != 2 || runs2) && (n != 3 || KNOWS_JOIN(0)))

inline drop_request(n) {
  is_pending[n] = false;
  request_age[n] = SPAN;
  answer_revision[n] = 0
}

/* RecordTableAnswer, RecordPeerAnswer */
inline handle_answer(n) {
  if
  :: answer_revision[n] > known[0] -> known[0] = answer_revision[n]
  :: else
  fi;
#ifdef COUNT_FROM_ARRIVAL
  age[n] = 0;
#else
  if
  :: request_age[n] < age[n] -> age[n] = request_age[n]
  :: else
  fi;
#endif
  drop_request(n)
}

inline exchange(n) {
  if
  :: !is_pending[n] && MAY_ASK(n) ->
       is_pending[n] = true;
       request_age[n] = 0;
       answer_revision[n] = (n == 0 -> head : known[n])
  :: is_pending[n] -> drop_request(n)
  :: is_pending[n] -> handle_answer(n)
  fi
}

inline tick() {
  for (p : 0 .. 3) {
    INCREMENT_AGE(age[p]);
    if
    :: is_pending[p] ->
         INCREMENT_AGE(request_age[p]);
#ifndef COUNT_FROM_ARRIVAL
         if
         :: request_age[p] == SPAN -> drop_request(p)
         :: else
         fi
#endif
    :: else
    fi
  }
  p = 0;
  if
  :: acknowledged && !in_force -> INCREMENT_AGE(waited)
  :: else
  fi
}

/* AdvanceInForce */
inline advance() {
  if
  :: claim_revision > 0 && !acknowledged && MAJORITIES -> acknowledged = true
  :: else
  fi;
  if
  :: acknowledged && !in_force && WAITED -> in_force = true
  :: else
  fi
}

active proctype Fleet() {
  do
  :: atomic { tick(); advance() }
  :: atomic { exchange(0); advance() }
  :: atomic { exchange(1); advance() }
  :: atomic { exchange(2); advance() }
  :: atomic { exchange(3); advance() }

  /* CatchUp: a running session learns of the newest change */
  :: atomic { known[1] < head -> known[1] = head; advance() }
  :: atomic { runs2 && known[2] < head -> known[2] = head; advance() }
  :: atomic { join_revision > 0 && known[3] < head ->
       known[3] = head;
       advance() }

  /* Commit: a conditional write on head */
  :: atomic { claim_revision == 0 && known[1] == head ->
       head++; claim_revision = head; known[1] = head;
       advance() }
  :: atomic { join_revision == 0 && MAY_JOIN -> head++; join_revision = head;
       known[3] = head; advance() }

#ifdef RESTART
  :: atomic { runs2 -> runs2 = false; known[2] = 0 }
#ifdef SAME_SESSION
  :: atomic { !runs2 -> runs2 = true }
#endif
#endif

  :: atomic { in_force && OLD_OWNER_ACTIVE -> assert(false) }
  od
}
