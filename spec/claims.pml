/*
 * Claims on one idempotency key (docs/design.md, section 4.2). Each attempt is one process with its own nonce, run by
 * the daemon that received the caller's request. Attempt 0 is run by one daemon; a second daemon runs attempt 1, a retry
 * of the caller, and after the end or crash of attempt 1 attempt 2. A process may pause between any two steps.
 *
 * Faults: an append whose response is lost, with or without effect, or with a late effect; repeated appends; pauses past
 * send-by; calls and responses that are lost; abandoned attempts and released claims.
 *
 * Properties (assertions): the service records at most once (P4); an attempt whose caller was told 'not run' did not
 * run and does not run later (P3); an attempt that lost its claim has no result of its own.
 */

// mutant: SEND_BEFORE_READ_BACK the call is sent once the claim's append was started
// mutant: RELEASE_BY_ANYBODY a release reopens the key whatever its nonce is
// mutant: RELEASE_AFTER_FIRST_BYTE a claim is released although a byte of its call may have left
// mutant: RELEASE_AFTER_LATE_LOOKUP the time of the look-up's response counts, not that of its request
// mutant: BOUNDARY_STAYS_OPEN a call may start after its caller was told 'not run'

#define ATTEMPTS 3
#define LOG 5
#define REPEATS 1             // appends of a claim beyond the first, over all attempts
#define NONE 7

// Kinds of records; a record is kind * 8 + nonce.
#define CLAIM 0
#define OUTCOME 1
#define RELEASE 2

byte log[LOG];
byte tail = 0;
byte repeats = REPEATS;
bool late[ATTEMPTS];          // an append of the claim may still take effect
bool calling[ATTEMPTS];       // the call is on its way to the service
bool past[ATTEMPTS];          // send-by has passed
bool told_not_run[ATTEMPTS];
bool second_ended;            // the second daemon may start attempt 2
bool enforces;                // the service rejects calls after send-by
byte executed_by = NONE;

#define is_appended(n) (log[0] == CLAIM + n && tail > 0 || log[1] == CLAIM + n && tail > 1 || \
	log[2] == CLAIM + n && tail > 2 || log[3] == CLAIM + n && tail > 3 || \
	log[4] == CLAIM + n && tail > 4)

inline put(kind, nonce) {
	atomic {
		if
		:: tail < LOG ->
			log[tail] = kind * 8 + nonce;
			tail++
		:: else -> goto stop
		fi
	}
}

// Applies the next record of the log to the state that the attempt has read.
inline read_next() {
	d_step {
		kind = log[position] / 8;
		nonce = log[position] % 8;
		position++;
		if
		:: kind == CLAIM && !(seen & (1 << nonce)) ->
			seen = seen | (1 << nonce);
			if
			:: winner == NONE -> winner = nonce
			:: else
			fi
		:: kind == OUTCOME && nonce == winner -> done = true
#ifdef RELEASE_BY_ANYBODY
		:: kind == RELEASE && !done -> winner = NONE
#else
		:: kind == RELEASE && nonce == winner && !done -> winner = NONE
#endif
		:: else
		fi;
		kind = 0;
		nonce = 0
	}
}

inline forget() {
	position = 0;
	winner = NONE;
	seen = 0
}

inline tell_not_run() {
	atomic {
		assert(executed_by != me);
		told_not_run[me] = true
	}
}

proctype Attempt(byte me) {
	byte position = 0;
	byte winner = NONE;
	byte seen = 0;
	byte kind;
	byte nonce;
	bool done = false;
	bool opened = false;
	bool after_send_by = false;

	(me != 2 || second_ended);

	// The state of the key when the request is received: any prefix of the log. A prefix never changes, so reading it
	// in one step loses no behaviour.
	atomic {
		do
		:: position < tail -> read_next()
		:: break
		od;
		if
		:: done -> goto recorded
		:: !done && winner != NONE -> goto look_up
		:: else
		fi;
		forget()
	}

	// Append the claim. After a lost response the same record is appended again.
	do
	:: true -> put(CLAIM, me); break
	:: atomic { repeats > 0 -> repeats-- }; put(CLAIM, me)
	:: atomic { repeats > 0 && !late[me] -> repeats--; late[me] = true }
	:: tell_not_run(); goto stop
	od;
#ifdef SEND_BEFORE_READ_BACK
	goto send;
#endif
	if
	:: atomic {
		is_appended(me) ->
		do
		:: !(seen & (1 << me)) -> read_next()
		:: else -> break
		od;
		if
		:: done -> goto recorded
		:: !done && winner == NONE -> tell_not_run(); goto stop
		:: !done && winner != NONE && winner != me -> goto look_up
		:: !done && winner == me
		fi
	}
	:: goto give_up
	:: goto stop // crash
	fi;

send:
	position = 0;
	seen = 0;
	if
	:: goto give_up
	:: goto stop // crash
	:: atomic { !past[me] -> opened = true; calling[me] = true }
#ifdef BOUNDARY_STAYS_OPEN
	:: tell_not_run(); put(RELEASE, me); calling[me] = true; goto stop
#endif
	fi;
	if
	:: executed_by == me -> put(OUTCOME, me); goto stop
	:: winner = me // no response
	:: goto stop // crash
#ifdef RELEASE_AFTER_FIRST_BYTE
	:: put(RELEASE, me); goto stop
#endif
	fi;

look_up:
	position = 0;
	seen = 0;
	after_send_by = past[winner];
	if
	:: executed_by != NONE ->
		put(OUTCOME, winner);
		goto stop
	:: executed_by == NONE ->
#ifdef RELEASE_AFTER_LATE_LOOKUP
		if
		:: enforces -> past[winner]; after_send_by = true
		:: else
		fi;
#endif
		if
		:: enforces && after_send_by ->
			put(RELEASE, winner);
			if
			:: !opened -> tell_not_run()
			:: else
			fi
		:: else
		fi;
		goto stop
	:: true -> goto stop
	fi;

give_up:
	tell_not_run();
	put(RELEASE, me);
	goto stop;

recorded:
	// A recorded outcome belongs to the claim in force and to a call that was executed.
	assert(executed_by != NONE && executed_by == winner);

stop:
	// Ended attempts share one state, which keeps the search small.
	atomic { second_ended = second_ended || me == 1; position = 0; winner = 0; seen = 0; done = false; opened = false; after_send_by = false }
}

// Lets time pass, delivers late appends, and executes or loses calls.
proctype Environment() {
	byte i;

end:
	do
	:: atomic {
		select(i : 0 .. ATTEMPTS - 1);
		if
		:: enforces && !past[i] -> past[i] = true
		:: late[i] && tail < LOG -> log[tail] = CLAIM * 8 + i; tail++; late[i] = false
		:: calling[i] ->
			calling[i] = false;
			if
			:: !(enforces && past[i]) ->
				assert(!told_not_run[i]);
				assert(executed_by == NONE);
				executed_by = i
			:: true
			fi
		:: else
		fi;
		i = 0
	}
	od
}

init {
	byte i;
	atomic {
		if
		:: enforces = true
		:: enforces = false
		fi;
		for (i : 0 .. ATTEMPTS - 1) {
			run Attempt(i)
		}
		run Environment()
	}
}
