/*
 * At most once: request records, resolving, and claims in the table.
 *
 * One thing that a caller wants done, in two sendings: requests 0 and 1. Two
 * instances may be its home. Instance 0 is replaced once, at any moment; its old
 * process is killed, or was only paused and goes on.
 *
 *   without KEYED  request IDs alone: the system sends request 1 only after it
 *                  was shown that request 0 was not run.
 *   with KEYED     the caller sends request 1 with the same key whenever it likes,
 *                  through another node; keys are claimed in the table.
 *
 * A safeguard is left out by -D and its name; check.sh shows that each is needed.
 */

#define REQUESTS 2

/* Books: 0 is instance 0, 1 is instance 1, 2 is instance 0 after it was replaced. */
#define BOOKS 3
#define INSTANCE(b) ((b) == 1 -> 1 : 0)

mtype = { none, barred, running, finished };               /* records */
mtype = { open, done, notRun, unknown, inProgress };       /* what callers are told */

mtype record[BOOKS * REQUESTS] = none;
#define RECORD(b, i) record[(b) * REQUESTS + (i)]

byte current0;                  /* the book that answers at instance 0 */
#define CURRENT(b) (INSTANCE(b) == 1 -> 1 : current0)
bool killed;                    /* the process of book 0 */
#define DEAD(b) ((b) == 0 && killed)

byte sentTo[REQUESTS];          /* the book that the entry named */
byte sendings[REQUESTS];
mtype told[REQUESTS] = open;

/* Replies on their way to the entry; they are read in any order, or never. Those
   after the caller was told are dropped: they change nothing. */
#ifdef KEYED
/* The part without keys shows that replies may cross; here the first is the last. */
#define gotAnswer     done
#define gotBarred     notRun
#ifdef NO_COUNT
#define gotRefused    notRun
#else
#define gotRefused    (sendings[i] == 1 -> notRun : unknown)
#endif
#define gotUnknown    unknown
#define gotInProgress inProgress
#define GOT(reply)    if :: told[i] == open -> tell(i, reply) :: else -> skip fi
#else
bool gotAnswer[REQUESTS], gotBarred[REQUESTS], gotRefused[REQUESTS], gotUnknown[REQUESTS], gotInProgress[REQUESTS];
#define GOT(reply)    reply[i] = (told[i] == open)
#endif

/* The ledger. */
bool ran[REQUESTS];

inline handOver(i) {
	assert(!ran[i]);                  /* no request runs twice */
	assert(told[i] != notRun);        /* told "not run" holds for good */
	ran[i] = true;
	assert(!(ran[0] && ran[1]))       /* what the caller wants runs at most once */
}

inline tell(i, what) {
	assert(what != notRun || !ran[i]);
	assert(what != done || ran[0] || ran[1]);
	told[i] = what
#ifndef KEYED
	;
	gotAnswer[i] = false;
	gotBarred[i] = false;
	gotRefused[i] = false;
	gotUnknown[i] = false;
	gotInProgress[i] = false
#endif
}

/* The home's answer to "what became of it?"; b is the book that was named. */
inline resolve(b, i, result) {
#ifdef NO_INCARNATION
	result = RECORD(CURRENT(b), i);
	if
	:: result == none -> RECORD(CURRENT(b), i) = barred; result = barred
	:: else -> skip
	fi
#else
	if
	:: CURRENT(b) != b -> result = none                  /* home lost */
	:: else ->
		result = RECORD(b, i);
		if
#ifdef NO_BAR
		:: result == none -> result = barred
#else
		:: result == none -> RECORD(b, i) = barred; result = barred
#endif
		:: else -> skip
		fi
	fi
#endif
}

#ifdef KEYED

#define FREE     0
#define CLAIMED  1
#define RECORDED 2
#define RELEASED 3

byte row, rowOwner, rowBook;
byte revision;                  /* 0 while there is no row */
bool releasedFor[REQUESTS];     /* ledger: the request's release was written */

/* A write of each request's claim that may land at any time: its condition, plus one. */
byte late[REQUESTS], lateBook[REQUESTS];

#define LANDS(on) (revision == (on))

inline put(i, b, what) {
	revision++;
	row = what;
	rowOwner = i;
	rowBook = b
}

inline land(i) {
	if
	:: LANDS(late[i] - 1) -> put(i, lateBook[i], CLAIMED)
	:: else -> skip
	fi;
	late[i] = 0;
	lateBook[i] = 0
}

active proctype Table() {
end:
	do
	:: atomic { late[0] -> land(0) }
	:: atomic { late[1] -> land(1) }
	od
}

#endif

/* One arrival that its book let in: from claim to record of the outcome. */
proctype Task(byte i; byte b) {
	mtype result = none;
#ifdef KEYED
	byte on;       /* the revision that the claim's next write is conditioned on */
	byte tries;
	bool doubt;    /* a write of the claim took effect or may do so later */
decide:
	atomic {
		if
		:: DEAD(b) -> goto over
		:: else -> skip
		fi;
		if
		:: revision == 0 || row == RELEASED -> on = revision
		:: revision > 0 && row == CLAIMED && rowOwner == i && rowBook == b -> goto granted
		:: revision > 0 && row == RECORDED -> goto replay
		:: revision > 0 && row == CLAIMED && !(rowOwner == i && rowBook == b) -> on = revision; goto ask
		:: true -> goto refuse                    /* the table is away */
		fi
	}
write:
	atomic {
		if
		:: DEAD(b) -> goto over
		:: tries >= 2 -> goto refuse
		:: else -> tries++
		fi;
		if
#ifdef NO_FENCE
		:: true -> put(i, b, CLAIMED); goto granted
#else
		:: LANDS(on) -> put(i, b, CLAIMED); goto granted
#endif
		:: !LANDS(on) -> goto decide              /* conflict */
		:: true -> goto refuse                    /* unavailable: certainly no effect */
		:: LANDS(on) -> put(i, b, CLAIMED)        /* took effect, the answer is lost */
		:: true                                   /* lost on the way */
		:: late[i] == 0 -> late[i] = on + 1; lateBook[i] = b
		fi;
		doubt = true;
#ifdef BLIND_GRANT
		goto granted
#else
		goto decide
#endif
	}
ask:
	/* The row's home is asked; its answer is acted on later, by another step. */
	atomic {
		if
		:: DEAD(b) -> goto over
#ifdef NO_ASK
		:: true -> result = barred
#else
		:: on != revision -> goto decide
		:: on == revision -> resolve(rowBook, rowOwner, result)
		:: true -> result = running               /* silent */
#endif
		fi;
		if
		:: result == barred -> goto write
		:: result == finished -> goto replay
		:: result == running -> GOT(gotInProgress); goto abort
		:: result == none ->
#ifdef TAKE_LOST
			goto write
#else
			/* No release that was written leaves its key to answer "unknown". */
			assert(!releasedFor[rowOwner]);
			GOT(gotUnknown);
			goto abort
#endif
		fi
	}
granted:
	doubt = true;
#endif
	atomic {
		if
		:: DEAD(b) -> goto over
		:: true -> handOver(i)
		:: true -> goto refuse                    /* canceled, or the deadline has passed */
		fi
	}
	atomic {
		if
		:: DEAD(b) -> goto over
		:: else -> RECORD(b, i) = finished; GOT(gotAnswer)
		fi
	}
#ifdef KEYED
	atomic {
		if
		:: !DEAD(b) && row == CLAIMED && rowOwner == i && rowBook == b -> put(i, b, RECORDED)
		:: true                                   /* never written */
		fi;
		goto over
	}
replay:
	atomic {
		GOT(gotAnswer);
		goto abort
	}
#else
	goto over;
#endif
refuse:
	atomic {
		if
		:: DEAD(b) -> goto over
		:: else -> GOT(gotBarred)
		fi
	}
abort:
	atomic {
		if
		:: DEAD(b) -> goto over
#ifdef NO_ABORT_BAR
		:: else -> RECORD(b, i) = none
#else
		:: else -> RECORD(b, i) = barred
#endif
		fi;
		result = none
	}
#ifdef KEYED
	/* Release, if the claim's write did or may take effect. */
	atomic {
		if
		:: DEAD(b) || !doubt -> goto over
		:: !DEAD(b) && doubt && row == CLAIMED && rowOwner == i && rowBook == b ->
#ifdef NO_TOMBSTONE
			revision = 0; row = FREE; rowOwner = 0; rowBook = 0;
#else
			put(i, b, RELEASED);
#endif
			releasedFor[i] = true
		:: !DEAD(b) && doubt && revision == 0 ->
#ifndef NO_TOMBSTONE
			put(i, b, RELEASED);
#endif
			releasedFor[i] = true
		:: true                                   /* never written, or another's row */
		fi
	}
#endif
over:
	result = none;
#ifdef KEYED
	on = 0;
	tries = 0;
	doubt = false
#endif
}

/* One copy of a request on its way: it arrives at whatever book answers, or is lost. */
proctype Arrival(byte i) {
	byte b;
	atomic {
		b = CURRENT(sentTo[i]);
		if
		:: true                                   /* lost */
#ifdef NO_INCARNATION
		:: RECORD(b, i) == none -> RECORD(b, i) = running; run Task(i, b)
#else
		:: b != sentTo[i] -> GOT(gotRefused)
		:: b == sentTo[i] && RECORD(b, i) == none -> RECORD(b, i) = running; run Task(i, b)
#endif
		:: b == sentTo[i] && RECORD(b, i) == barred -> GOT(gotBarred)
		:: b == sentTo[i] && RECORD(b, i) == running -> skip
		:: b == sentTo[i] && RECORD(b, i) == finished -> GOT(gotAnswer)
		fi;
		b = 0
	}
}

/* A question about a request, or a cancellation, on its way. */
proctype Question(byte i) {
	mtype result = none;
	atomic {
		if
		:: true -> resolve(sentTo[i], i, result);
			if
			:: result == barred -> GOT(gotBarred)
			:: result == finished -> GOT(gotAnswer)
			:: result == none -> GOT(gotUnknown)
			:: else -> skip
			fi
		:: true                                   /* lost */
		fi;
		result = none
	}
}

/* The entry of request i. */
proctype Entry(byte i) {
	bool asked;
	atomic {
		if
		:: sentTo[i] = 0                          /* perhaps an incarnation that is gone */
		:: sentTo[i] = current0
		:: i == 1 -> sentTo[i] = 1
		fi;
		sendings[i] = 1;
		run Arrival(i);
#ifdef TWICE
		if
		:: i == 0 -> sendings[i] = 2; run Arrival(i)
		:: true
		fi
#endif
	}
#ifndef KEYED
	do
	:: atomic { gotAnswer[i] -> tell(i, done); break }
	:: atomic { gotBarred[i] -> tell(i, notRun); break }
	:: atomic { gotRefused[i] ->
#ifdef NO_COUNT
		tell(i, notRun)
#else
		if
		:: sendings[i] == 1 -> tell(i, notRun)
		:: else -> tell(i, unknown)
		fi
#endif
		; break }
	:: atomic { gotInProgress[i] -> tell(i, inProgress); break }
	:: atomic { gotUnknown[i] -> tell(i, unknown); break }
	:: atomic { !asked -> asked = true; run Question(i) }
	:: atomic { asked -> tell(i, unknown); break }    /* nothing more can be learnt in time */
	od;
#endif
	asked = false
}

active proctype Caller() {
	run Entry(0);
#ifdef KEYED
	run Entry(1)
#else
	if
	:: told[0] == notRun -> run Entry(1)
#ifdef BLIND_RETRY
	:: told[0] == unknown -> run Entry(1)
#endif
	:: told[0] != open && told[0] != notRun
	fi
#endif
}

/* Instance 0 is replaced. */
active proctype Replacement() {
	atomic {
		if
		:: true -> current0 = 2; killed = true
		:: true -> current0 = 2                   /* the old process was only paused */
		:: true
		fi
	}
}
