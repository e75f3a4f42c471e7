/*
 * Leases on the log, orders with fencing numbers (design 4.4).
 *
 * Two contenders ask for one lease. A contender may pause between any two steps, also
 * between the check of its lease and the arrival of its order at the engine. An append
 * may lose its answer and be repeated. Time advances in ticks that all clocks see.
 *
 * The log is the sequence of accepted states; a record that is refused changes nothing and
 * is left out.
 */

// mutant: UNCHECKED_FENCE
// mutant: NO_LAST_RENEWAL
// mutant: NO_LOCAL_DEADLINE
// mutant: DEADLINE_FROM_READ

#define NONE 255
#define LEASE 3
#define MARGIN 1
#define TIME 6
#define MAX_OFFSET 5

byte now;

/* State of the lease in the log. */
byte offset;
byte fence = NONE;
byte holder = NONE;
byte renewal = NONE;

/* What a contender believes. */
bool held[2];
byte own[2];
byte deadline[2];

/* Orders on their way to the engine, and what the engine did. */
chan orders = [2] of { byte };
byte applied;
bool anyApplied;

#ifdef NO_LOCAL_DEADLINE
#define VALID(i) (held[i])
#else
#define VALID(i) (held[i] && now < deadline[i])
#endif

/* Whether no record was accepted after the state that the contender saw. */
#ifdef NO_LAST_RENEWAL
#define UNCHANGED(f, r) (f == fence)
#else
#define UNCHANGED(f, r) (f == fence && r == renewal)
#endif

inline acquire(i, seenFence, seenRenewal) {
	if
	:: UNCHANGED(seenFence, seenRenewal) ->
		assert(fence == NONE || offset > fence);
		fence = offset;
		holder = i;
		renewal = offset
	:: else
	fi;
	offset++
}

inline renew(i) {
	if
	:: fence == own[i] && holder == i -> renewal = offset
	:: else
	fi;
	offset++
}

proctype Contender(byte i) {
	byte seenFence;
	byte seenRenewal;
	byte seenAt;
	byte sentAt;
	byte at;
end:
	do
	/* Reads the log. A state that has not changed keeps the time at which it was seen. */
	:: atomic {
		!held[i] && (seenFence != fence || seenRenewal != renewal || seenAt == 0) ->
		seenFence = fence;
		seenRenewal = renewal;
		seenAt = now + 1
	}
	/* Asks for the lease; the append may happen later than it is sent. */
	:: atomic {
		!held[i] && seenAt != 0 && offset < MAX_OFFSET && (seenFence == NONE || now + 1 >= seenAt + LEASE) ->
		sentAt = now
	};
		atomic { at = offset; acquire(i, seenFence, seenRenewal) };
		/* The answer is lost and the same record is appended again. */
		if
		:: atomic { offset < MAX_OFFSET -> acquire(i, seenFence, seenRenewal) }
		:: skip
		fi;
		atomic {
			if
			:: fence == at && holder == i ->
				held[i] = true;
				own[i] = at;
				deadline[i] = sentAt + LEASE - MARGIN
			:: else
			fi;
			seenAt = 0;
			seenFence = 0;
			seenRenewal = 0;
			sentAt = 0;
			at = 0
		}
	/* Renews; the verdict is read from the log afterwards. */
	:: atomic { VALID(i) && offset < MAX_OFFSET -> sentAt = now };
		atomic { at = offset; renew(i) };
		atomic {
			if
			:: renewal == at ->
#ifdef DEADLINE_FROM_READ
				deadline[i] = now + LEASE - MARGIN
#else
				deadline[i] = sentAt + LEASE - MARGIN
#endif
			:: else
			fi;
			sentAt = 0;
			at = 0
		}
	/* Gives an order under the lease. It arrives at any later time. */
	:: atomic { VALID(i) && nfull(orders) -> orders!own[i] }
	/* Notices the loss, at any time after it. */
	:: atomic { held[i] && (now >= deadline[i] || fence != own[i]) -> held[i] = false; seenAt = 0 }
	od
}

/* Whether the engine executes an order. */
#ifdef UNCHECKED_FENCE
#define APPLIES(number) (true)
#else
#define APPLIES(number) (!anyApplied || number >= applied)
#endif

/* Takes orders in any order of arrival. */
proctype Engine() {
	byte number;
	byte other;
end:
	do
	:: atomic {
		orders?number ->
		if
		:: nempty(orders) -> orders?other; orders!number; number = other; other = 0
		:: skip
		fi;
		if
		:: APPLIES(number) ->
			assert(!anyApplied || number >= applied);
			applied = number;
			anyApplied = true
		:: else
		fi;
		number = 0
	}
	od
}

proctype Clock() {
end:
	do
	:: atomic { now < TIME -> now++; assert(!(VALID(0) && VALID(1))) }
	od
}

proctype Monitor() {
end:
	atomic { VALID(0) && VALID(1) -> assert(false) }
}

init {
	atomic {
		run Contender(0);
		run Contender(1);
		run Engine();
		run Clock();
		run Monitor()
	}
}
